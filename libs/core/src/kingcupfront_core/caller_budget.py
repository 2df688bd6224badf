"""Bounds the memory and the connections that callers may take.

Load pattern: many callers send large requests, requests that never end, or
nothing, or do not read their responses. Each stays within the limits of one
request, but together they exceed the memory or the descriptors of the
process, and the requests of all callers end with it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import logging
import resource
import time

import gevent

LOG = logging.getLogger(__name__)

# If the process has no stated limit of memory.
DEFAULT_MEMORY_BYTES = 150 * 1000 * 1000
# The part of the process's memory for what callers have sent or not yet read.
MEMORY_PART = 1 / 4
# The part of it for the connections themselves: tasks, parsers and buffers.
CONNECTIONS_MEMORY_PART = 1 / 4
CONNECTION_BYTES = 20_000
# The parts of the descriptors for each kind of address. The rest is for
# targets, the store, calls to peers and files.
CALLERS_PART = 1 / 2
PEERS_PART = 1 / 8
PROBES_PART = 1 / 16
MIN_CONNECTIONS = 8
# What the objects of one header field take beside its bytes.
FIELD_BYTES = 200
# Pressure has ended if nothing was dropped for so long.
CALM_SECONDS = 5.0
# A caller that was dropped may try again after this time.
RETRY_SECONDS = 1.0


class Stage(enum.IntEnum):
    """What a connection is doing, in the order in which it is dropped."""

    READING = 0
    IDLE = 1
    SERVING = 2
    CLOSING = 3


class Cause(enum.StrEnum):
    """Why a connection is dropped."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'


class Account:
    """What one connection holds.

    :param budget: the budget of the process.
    :param drop: ends the request, or the connection if there is none; returns
        whether it will.
    """

    def __init__(
        self, budget: 'CallerBudget', drop: Callable[[Cause], bool]
    ) -> None:
        self._budget = budget
        self.drop = drop
        self.size = 0
        self.stage = Stage.IDLE
        self.since = time.monotonic()
        self.completed_requests = 0
        self.is_dropped = False
        self.is_closed_for_room = False

    def enter(self, stage: Stage) -> None:
        """Record that the connection does something else now."""
        if stage is Stage.IDLE and self.stage is Stage.SERVING:
            self.completed_requests += 1
        self.stage = stage
        self.since = time.monotonic()

    def resize(self, size: int) -> None:
        """Set the bytes that the connection holds."""
        growth = size - self.size
        self.size = size
        self._budget.total += growth
        if growth > 0:
            self._budget.make_room()


class CallerBudget:
    """The memory that all connections to a process hold together.

    :param memory_bytes: the memory of the process; None if not stated.
    :param descriptors: the descriptors of the process; None if not stated.
    :param on_drop: called with the cause of each drop.
    """

    def __init__(
        self,
        memory_bytes: int | None = None,
        descriptors: int | None = None,
        on_drop: Callable[[Cause], None] = lambda cause: None,
    ) -> None:
        self.total = 0
        self.on_drop = on_drop
        self.drops_by_cause: dict[Cause, int] = dict.fromkeys(Cause, 0)
        self._accounts: set[Account] = set()
        self._dropped_at: float | None = None
        self._dropped_since_calm: dict[Cause, int] = {}
        self.set_limits(memory_bytes, descriptors)

    def set_limits(
        self, memory_bytes: int | None, descriptors: int | None
    ) -> None:
        """Set the limits of the process; see the class."""
        memory = memory_bytes or DEFAULT_MEMORY_BYTES
        self.limit = int(memory * MEMORY_PART)
        self._descriptors = (
            descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        self._max_connections = int(
            memory * CONNECTIONS_MEMORY_PART / CONNECTION_BYTES
        )

    def max_connections(self, part: float) -> int:
        """Return how many connections an address may have.

        :param part: the part of the descriptors that it may take.
        """
        count = min(int(self._descriptors * part), self._max_connections)
        return max(count, MIN_CONNECTIONS)

    @property
    def is_under_pressure(self) -> bool:
        """Whether a connection was dropped a short while ago."""
        return self._dropped_at is not None

    @contextlib.contextmanager
    def open(self, drop: Callable[[Cause], bool]) -> Iterator[Account]:
        """Yield the account of a connection while the block runs."""
        account = Account(self, drop)
        self._accounts.add(account)
        try:
            yield account
        finally:
            self._accounts.remove(account)
            self.total -= account.size

    def make_room(self) -> None:
        """Drop connections until the rest is within the limit.

        The next to be dropped is the one that holds the most for the longest
        time, those that have not sent a whole request before the others.
        """
        if self.total <= self.limit:
            return
        ending = sum(a.size for a in self._accounts if a.is_dropped)
        if self.total - ending <= self.limit:
            return
        now = time.monotonic()
        candidates = sorted(
            (
                account
                for account in self._accounts
                if account.size
                and not account.is_dropped
                and account.stage is not Stage.CLOSING
            ),
            key=lambda a: (
                a.stage is not Stage.READING,
                -a.size * max(now - a.since, 0.001),
            ),
        )
        for account in candidates:
            if self.drop(account, Cause.MEMORY):
                ending += account.size
                if self.total - ending <= self.limit:
                    return

    def drop(self, account: Account, cause: Cause) -> bool:
        """Drop a connection; return whether it could be."""
        if not account.drop(cause):
            return False
        account.is_dropped = True
        account.is_closed_for_room = cause is Cause.CONNECTIONS
        self.drops_by_cause[cause] += 1
        self.on_drop(cause)
        self._record_pressure(cause)
        return True

    def _record_pressure(self, cause: Cause) -> None:
        begins = self._dropped_at is None
        self._dropped_at = time.monotonic()
        counts = self._dropped_since_calm
        counts[cause] = counts.get(cause, 0) + 1
        if begins:
            LOG.warning(
                'caller_pressure_began',
                extra={
                    'cause': str(cause),
                    'bytes': self.total,
                    'limit': self.limit,
                    'connections': len(self._accounts),
                },
            )
            gevent.spawn(self._await_calm)

    def _await_calm(self) -> None:
        while (left := self._dropped_at + CALM_SECONDS - time.monotonic()) > 0:
            gevent.sleep(left)
        counts, self._dropped_since_calm = self._dropped_since_calm, {}
        self._dropped_at = None
        LOG.warning(
            'caller_pressure_ended',
            extra={
                'dropped_for_memory': counts.get(Cause.MEMORY, 0),
                'dropped_for_connections': counts.get(Cause.CONNECTIONS, 0),
                'bytes': self.total,
            },
        )

    def as_dict(self) -> dict[str, object]:
        """Return the state for a state dump."""
        return {
            'bytes': self.total,
            'limit_bytes': self.limit,
            'connections': len(self._accounts),
            'is_under_pressure': self.is_under_pressure,
            'dropped': {str(c): n for c, n in self.drops_by_cause.items()},
        }


class Address:
    """The connections to one address of the process.

    :param budget: the budget of the process.
    :param part: the part of the descriptors for the address.
    :param most: the most connections whatever the descriptors are, or None.
    """

    def __init__(
        self, budget: CallerBudget, part: float, most: int | None = None
    ) -> None:
        self._budget = budget
        self._part = part
        self._most = most
        self._accounts: set[Account] = set()

    @contextlib.contextmanager
    def open(self, drop: Callable[[Cause], bool]) -> Iterator[Account | None]:
        """Yield the account of a new connection while the block runs.

        Beyond the limit a connection that is idle or sends an incomplete
        request is closed to make room: those that have never sent a whole
        request first, and of these the oldest.

        :returns: None if there is no room for the connection.
        """
        if not self._has_room():
            yield None
            return
        with self._budget.open(drop) as account:
            self._accounts.add(account)
            try:
                yield account
            finally:
                self._accounts.remove(account)

    def _has_room(self) -> bool:
        limit = self._budget.max_connections(self._part)
        if self._most is not None:
            limit = min(limit, self._most)
        if len(self._accounts) < limit:
            return True
        # Connections that were closed to make room end at once.
        staying = [a for a in self._accounts if not a.is_closed_for_room]
        if len(staying) < limit:
            return True
        candidates = sorted(
            (
                account
                for account in staying
                if account.stage in (Stage.READING, Stage.IDLE, Stage.CLOSING)
            ),
            key=lambda a: (
                a.stage is not Stage.CLOSING,
                a.completed_requests > 0,
                a.stage,
                a.since,
            ),
        )
        return any(
            self._budget.drop(account, Cause.CONNECTIONS)
            for account in candidates
        )
