"""Follows the platform's directory: the configuration and the targets."""

import logging

import gevent

from kingcupfront_gateway import adapter
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls

LOG = logging.getLogger(__name__)

# A quiet watch is answered after this; the age of keys follows from it.
WAIT_SECONDS = 1.5
# After a failure the view is confirmed at once.
SHORT_WAIT_SECONDS = 0.05
# What an answer may take beyond its wait.
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5


class Directory:
    """Keeps what the process knows in step with the directory.

    :param process: the parts of the process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        self._calls = json_calls.JsonConnection(process.settings.directory)
        self._revision: int | None = None
        self._steady_since: float | None = None
        self._wait = SHORT_WAIT_SECONDS

    def follow(self) -> None:
        """Read the directory and then its changes, for ever."""
        failures = 0
        while True:
            try:
                if self._revision is None:
                    self._read_all()
                else:
                    self._read_changes()
            except (errors.GatewayError, errors.TargetError) as error:
                failures += 1
                self._lose(error)
                gevent.sleep(self._delay(failures))
            else:
                failures = 0

    def _delay(self, failures: int) -> float:
        longest = min(
            MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(failures, 8)
        )
        return self._process.rng.uniform(longest / 2, longest)

    def _lose(self, error: errors.GatewayError) -> None:
        if isinstance(error, errors.HistoryLostError):
            self._revision = None
        if self._steady_since is not None:
            LOG.warning(
                'directory_lost',
                extra={'cause': error.code, 'detail': str(error)},
            )
        self._steady_since = None
        self._wait = SHORT_WAIT_SECONDS

    def _regain(self, now: float) -> None:
        if self._steady_since is None:
            self._steady_since = now
            LOG.info('directory_regained', extra={'revision': self._revision})

    def _read_all(self) -> None:
        process = self._process
        asked_at = process.clock.monotonic()
        snapshot = process.platform.read_all(self._calls)
        now = process.clock.monotonic()
        self._revision = snapshot.revision
        self._regain(now)
        if snapshot.configuration is not None:
            self._use(snapshot.configuration)
        process.targets.replace_all(snapshot.targets, now)
        if process.configuration is not None:
            process.has_list = True
        process.freshness.confirm(asked_at)
        self._process.targets.expire(now, self._steady_since)

    def _read_changes(self) -> None:
        process = self._process
        asked_at = process.clock.monotonic()
        self._revision, changes = process.platform.read_changes(
            self._calls, self._revision, self._wait
        )
        now = process.clock.monotonic()
        self._regain(now)
        self._wait = WAIT_SECONDS
        for change in changes:
            self._apply(change, now)
        process.has_list = process.configuration is not None
        process.freshness.confirm(asked_at)
        process.targets.expire(now, self._steady_since)
        process.pool.trim(set(process.targets.by_id), now)

    def _apply(self, change: adapter.Change, now: float) -> None:
        if change.configuration is not None:
            self._use(change.configuration)
        elif change.target is not None:
            self._process.targets.put(change.target)
        elif change.gone is not None:
            self._process.targets.remove(change.gone, now, self._steady_since)

    def _use(self, configuration: object) -> None:
        is_used = self._process.use(configuration)
        LOG.info(
            'configuration_read',
            extra={
                'version': configuration.version,
                'in_force': self._process.configuration.version,
                'outcome': 'used' if is_used else 'not_newer',
            },
        )
