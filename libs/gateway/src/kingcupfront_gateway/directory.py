"""Replicates the platform's directory: the configuration and the targets.

One gateway of each data centre watches the directory. The others fetch the
changes from that gateway and fall back to the directory when it does not
answer or its view is stale.
"""

import logging

import gevent

from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import listing
from kingcupfront_gateway import objects
from kingcupfront_gateway import peers
from kingcupfront_gateway import restores
from kingcupfront_gateway import warmth
from kingcupfront_gateway import zone_evacuations

LOG = logging.getLogger(__name__)

# The directory answers a watch after this time if nothing has changed. A view
# dates from the start of the watch that confirmed it, so it gets up to twice
# as old.
WATCH_WAIT_SECONDS = 0.75
# After a failure a short first watch confirms the view at once.
FIRST_WATCH_WAIT_SECONDS = 0.05
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
# After this many consecutive peer failures the directory itself is watched for
# DIRECT_WATCH_SECONDS.
MAX_FAILED_PEERS = 2
DIRECT_WATCH_SECONDS = 1.5


class DirectorySync:
    """Keeps the listing and targets of a process in sync with the directory.

    :param process: the gateway process.
    :param peer_exchange: fetches changes from other gateways; None if the
        process has no peers.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        peer_exchange: peers.PeerExchange | None = None,
    ) -> None:
        self._process = process
        self._peer_exchange = peer_exchange
        self._restores = restores.Restores(process)
        self._connection = self._connect()
        self._wait_seconds = FIRST_WATCH_WAIT_SECONDS
        self._failed_peers = 0
        self._direct_until = 0.0

    def run(self) -> None:
        """Read the directory once, then apply its changes; never returns."""
        failures = 0
        while True:
            self._update_address()
            peer = self._choose_peer()
            self._set_source(peer or 'directory')
            try:
                if peer is not None:
                    self._fetch_from_peer(peer)
                elif self._process.listing.revision is None:
                    self._fetch_all()
                else:
                    self._fetch_changes()
            except errors.RestoredDirectoryError as error:
                self._restores.start_era(error.era)
                self._wait_seconds = FIRST_WATCH_WAIT_SECONDS
                failures += 1
                gevent.sleep(self._retry_delay(failures))
            except core_errors.KingcupfrontError as error:
                if peer is not None:
                    LOG.info(
                        'peer_lost',
                        extra={'peer': peer, 'detail': str(error)},
                    )
                    self._record_peer_failure()
                    continue
                failures += 1
                self._record_failure(error)
                gevent.sleep(self._retry_delay(failures))
            else:
                failures = 0

    def _update_address(self) -> None:
        """Reconnect if the settings name another directory address."""
        address = self._process.settings.directory
        if address != self._connection.server_address:
            self._connection.close()
            self._connection = self._connect()

    def _connect(self) -> json_calls.JsonConnection:
        return json_calls.JsonConnection(
            self._process.settings.directory, self._restores.check
        )

    def _choose_peer(self) -> str | None:
        """Return the address of the peer to ask; None to ask the directory."""
        now = self._process.clock.monotonic()
        if self._peer_exchange is None or now < self._direct_until:
            return None
        return self._peer_exchange.watcher()

    def _record_peer_failure(self) -> None:
        self._failed_peers += 1
        if self._failed_peers >= MAX_FAILED_PEERS:
            self._failed_peers = 0
            self._direct_until = (
                self._process.clock.monotonic() + DIRECT_WATCH_SECONDS
            )

    def _set_source(self, source: str) -> None:
        if source != self._process.directory_source:
            LOG.info(
                'directory_source',
                extra={
                    'source': source,
                    'revision': self._process.listing.revision,
                },
            )
            self._process.directory_source = source

    def _retry_delay(self, failures: int) -> float:
        max_delay = min(
            MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(failures, 8)
        )
        return self._process.rng.uniform(max_delay / 2, max_delay)

    def _record_failure(self, error: core_errors.KingcupfrontError) -> None:
        if isinstance(error, errors.HistoryLostError):
            self._process.listing.revision = None
        if self._process.reachable_since is not None:
            LOG.warning(
                'directory_lost',
                extra={'cause': error.code, 'detail': str(error)},
            )
        self._process.reachable_since = None
        self._wait_seconds = FIRST_WATCH_WAIT_SECONDS

    def _record_contact(self, reachable_since: float) -> None:
        if self._process.reachable_since is None:
            self._process.reachable_since = reachable_since
            LOG.info(
                'directory_regained',
                extra={
                    'source': self._process.directory_source,
                    'revision': self._process.listing.revision,
                },
            )
        # The peer may have lost contact with the directory at a time when
        # this gateway did not.
        self._process.reachable_since = max(
            self._process.reachable_since, reachable_since
        )

    def _fetch_all(self) -> None:
        process = self._process
        requested_at = process.clock.monotonic()
        revision, entries = process.platform.read_directory(self._connection)
        self._record_contact(
            process.reachable_since or process.clock.monotonic()
        )
        self._apply_snapshot(entries, revision)
        self._confirm(requested_at)

    def _fetch_changes(self) -> None:
        process = self._process
        requested_at = process.clock.monotonic()
        revision, changes = process.platform.read_changes(
            self._connection,
            process.listing.revision,
            self._wait_until_removal(self._wait_seconds),
        )
        self._record_contact(
            process.reachable_since or process.clock.monotonic()
        )
        self._wait_seconds = WATCH_WAIT_SECONDS
        self._apply_changes(changes, revision)
        self._confirm(requested_at)

    def _fetch_from_peer(self, peer: str) -> None:
        process = self._process
        update = self._peer_exchange.fetch_update(
            peer,
            process.listing.era,
            process.listing.revision,
            self._wait_until_removal(peers.MAX_WAIT_SECONDS),
        )
        self._failed_peers = 0
        self._restores.reach(update.era)
        if process.listing.revision is None and not update.is_snapshot:
            return
        now = process.clock.monotonic()
        self._record_contact(now - update.reachable_seconds)
        self._wait_seconds = FIRST_WATCH_WAIT_SECONDS
        known = process.listing.revision
        if not update.is_snapshot:
            self._apply_changes(update.entries, update.revision)
        elif known is None or update.revision > known:
            self._apply_snapshot(update.entries, update.revision)
        self._confirm(update.confirmed_at)

    def _wait_until_removal(self, wait: float) -> float:
        """Shorten a wait for changes to remove a missing target in time.

        :param wait: seconds to wait if no target is missing.
        """
        seconds_left = self._process.targets.seconds_until_removal(
            self._process.clock.monotonic(), self._process.reachable_since
        )
        return min(wait, max(seconds_left, FIRST_WATCH_WAIT_SECONDS))

    def _confirm(self, requested_at: float) -> None:
        process = self._process
        now = process.clock.monotonic()
        process.freshness.confirm(requested_at)
        process.targets.remove_missing(now, process.reachable_since)
        zone_evacuations.end_expired(process, now)
        warmth.log_warm(process)
        process.pool.close_stale(process.targets.by_id, now)

    def _apply_snapshot(
        self, entries: list[listing.Entry], revision: int
    ) -> None:
        process = self._process
        process.listing.replace(entries, revision)
        decoded = [process.platform.decode_entry(entry) for entry in entries]
        for entry, change in zip(entries, decoded, strict=True):
            if change is not None and change.configuration is not None:
                self._apply_configuration(
                    change.configuration, len(entry.value)
                )
        # Before the targets, so that no new target is used in between.
        zone_evacuations.replace_all(process, entries, decoded, revision)
        renewed = process.targets.replace_all(
            tuple(c.target for c in decoded if c is not None and c.target),
            process.clock.monotonic(),
        )
        for target in renewed:
            self._record_warmup(target)

    def _apply_changes(
        self, entries: list[listing.Entry], revision: int
    ) -> None:
        process = self._process
        now = process.clock.monotonic()
        known = process.listing.revision
        new_entries = [entry for entry in entries if entry.revision > known]
        process.listing.apply(new_entries, revision)
        for entry in new_entries:
            change = process.platform.decode_entry(entry)
            if change is None:
                continue
            if change.configuration is not None:
                self._apply_configuration(
                    change.configuration, len(entry.value)
                )
            elif change.target is not None:
                process.targets.upsert(change.target)
                self._record_warmup(change.target)
            elif change.evacuated_zone is not None:
                zone_evacuations.apply(process, change, entry.revision)
            elif change.removed_target_id is not None:
                process.targets.remove(
                    change.removed_target_id, now, process.reachable_since
                )

    def _record_warmup(self, target: objects.Target) -> None:
        state = self._process.targets.by_id[target.id]
        warmth.record_cold(self._process, state, target.warmup_seconds)

    def _apply_configuration(self, configuration: object, size: int) -> None:
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
        if is_used:
            self._log_unusable_regions()

    def _log_unusable_regions(self) -> None:
        for kind, regions_by_name in self._process.unusable_regions().items():
            for name, regions in regions_by_name.items():
                LOG.warning(
                    'region_unknown',
                    extra={
                        'kind': kind,
                        'holder': name,
                        'regions': ','.join(regions),
                        'version': self._process.configuration.version,
                    },
                )
