"""Follows the platform's directory: the configuration and the targets.

One gateway of a data centre watches the directory; the others ask that one
and turn to the directory themselves as soon as it has no recent view.
"""

import logging

import gevent

from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import listing
from kingcupfront_gateway import peers

LOG = logging.getLogger(__name__)

# A quiet watch is answered after this. A view is up to twice as old, since it
# is as old as the call that confirmed it.
WAIT_SECONDS = 0.75
# After a failure the view is confirmed at once.
SHORT_WAIT_SECONDS = 0.05
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
# After this many peers in turn had no answer the directory itself is asked,
# for this long.
MAX_PEERS_ASKED = 2
ALONE_SECONDS = 1.5


class DirectorySync:
    """Keeps what the process knows in step with the directory.

    :param process: the parts of the process.
    :param others: the gateways that may be asked, or None.
    """

    def __init__(
        self, process: gateway.Gateway, others: peers.Peers | None = None
    ) -> None:
        self._process = process
        self._others = others
        self._calls = json_calls.JsonConnection(process.settings.directory)
        self._wait = SHORT_WAIT_SECONDS
        self._peers_failed = 0
        self._alone_until = 0.0

    def run(self) -> None:
        """Read the directory and then its changes, for ever."""
        failures = 0
        while True:
            self._use_address()
            peer = self._choose_peer()
            self._note_source(peer or 'directory')
            try:
                if peer is not None:
                    self._ask_peer(peer)
                elif self._process.listing.revision is None:
                    self._read_all()
                else:
                    self._read_changes()
            except core_errors.KingcupfrontError as error:
                if peer is not None:
                    LOG.info(
                        'peer_lost',
                        extra={'peer': peer, 'detail': str(error)},
                    )
                    self._note_no_answer()
                    continue
                failures += 1
                self._record_failure(error)
                gevent.sleep(self._delay(failures))
            else:
                failures = 0

    def _use_address(self) -> None:
        """Follow a directory whose address the settings have changed."""
        address = self._process.settings.directory
        if address != self._calls.to:
            self._calls.close()
            self._calls = json_calls.JsonConnection(address)

    def _choose_peer(self) -> str | None:
        """Return the peer to ask; None if the directory is asked."""
        now = self._process.clock.monotonic()
        if self._others is None or now < self._alone_until:
            return None
        return self._others.watcher()

    def _note_no_answer(self) -> None:
        self._peers_failed += 1
        if self._peers_failed >= MAX_PEERS_ASKED:
            self._peers_failed = 0
            self._alone_until = self._process.clock.monotonic() + ALONE_SECONDS

    def _note_source(self, source: str) -> None:
        if source != self._process.directory_source:
            LOG.info(
                'directory_source',
                extra={
                    'source': source,
                    'revision': self._process.listing.revision,
                },
            )
            self._process.directory_source = source

    def _delay(self, failures: int) -> float:
        longest = min(
            MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(failures, 8)
        )
        return self._process.rng.uniform(longest / 2, longest)

    def _record_failure(self, error: core_errors.KingcupfrontError) -> None:
        if isinstance(error, errors.HistoryLostError):
            self._process.listing.revision = None
        if self._process.reachable_since is not None:
            LOG.warning(
                'directory_lost',
                extra={'cause': error.code, 'detail': str(error)},
            )
        self._process.reachable_since = None
        self._wait = SHORT_WAIT_SECONDS

    def _regain(self, reachable_since: float) -> None:
        if self._process.reachable_since is None:
            self._process.reachable_since = reachable_since
            LOG.info(
                'directory_regained',
                extra={
                    'source': self._process.directory_source,
                    'revision': self._process.listing.revision,
                },
            )
        # A peer may have seen a break that was not seen here.
        self._process.reachable_since = max(
            self._process.reachable_since, reachable_since
        )

    def _read_all(self) -> None:
        process = self._process
        asked_at = process.clock.monotonic()
        revision, entries = process.platform.read_directory(self._calls)
        self._regain(process.reachable_since or process.clock.monotonic())
        self._take_all(entries, revision)
        self._confirm(asked_at)

    def _read_changes(self) -> None:
        process = self._process
        asked_at = process.clock.monotonic()
        revision, changes = process.platform.read_changes(
            self._calls, process.listing.revision, self._wait
        )
        self._regain(process.reachable_since or process.clock.monotonic())
        self._wait = WAIT_SECONDS
        self._take_changes(changes, revision)
        self._confirm(asked_at)

    def _ask_peer(self, peer: str) -> None:
        process = self._process
        news = self._others.ask(peer, process.listing.revision)
        self._peers_failed = 0
        now = process.clock.monotonic()
        self._regain(now - news.reachable_seconds)
        self._wait = SHORT_WAIT_SECONDS
        known = process.listing.revision
        if not news.is_whole:
            self._take_changes(news.entries, news.revision)
        elif known is None or news.revision > known:
            self._take_all(news.entries, news.revision)
        self._confirm(news.confirmed_at)

    def _confirm(self, asked_at: float) -> None:
        process = self._process
        now = process.clock.monotonic()
        process.freshness.confirm(asked_at)
        process.targets.remove_missing(now, process.reachable_since)
        process.pool.close_stale(process.targets.by_id, now)

    def _take_all(self, entries: list[listing.Entry], revision: int) -> None:
        process = self._process
        process.listing.replace(entries, revision)
        found = [process.platform.decode_entry(entry) for entry in entries]
        for entry, change in zip(entries, found, strict=True):
            if change is not None and change.configuration is not None:
                self._use(change.configuration, len(entry.value))
        process.targets.replace_all(
            tuple(c.target for c in found if c is not None and c.target),
            process.clock.monotonic(),
        )

    def _take_changes(
        self, entries: list[listing.Entry], revision: int
    ) -> None:
        process = self._process
        now = process.clock.monotonic()
        known = process.listing.revision
        fresh = [entry for entry in entries if entry.revision > known]
        process.listing.apply(fresh, revision)
        for entry in fresh:
            change = process.platform.decode_entry(entry)
            if change is None:
                continue
            if change.configuration is not None:
                self._use(change.configuration, len(entry.value))
            elif change.target is not None:
                process.targets.put(change.target)
            elif change.removed_target_id is not None:
                process.targets.remove(
                    change.removed_target_id, now, process.reachable_since
                )

    def _use(self, configuration: object, size: int) -> None:
        is_used = self._process.apply_configuration(configuration)
        LOG.info(
            'configuration_read',
            extra={
                'version': configuration.version,
                'bytes': size,
                'in_force': self._process.configuration.version,
                'outcome': 'used' if is_used else 'not_newer',
            },
        )
