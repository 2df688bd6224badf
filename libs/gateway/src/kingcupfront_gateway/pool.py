"""Pool of idle connections to targets."""

from collections.abc import Collection
from collections.abc import Container

from kingcupfront_core import address
from kingcupfront_gateway import objects
from kingcupfront_gateway import reply_buffers
from kingcupfront_gateway import upstream

CONNECT_TIMEOUT_SECONDS = 0.4
MAX_IDLE_PER_TARGET = 8
# For targets that do not state how long they keep an idle connection.
DEFAULT_IDLE_SECONDS = 2.0
# A connection is reused only in this fraction of the target's idle time: a
# request that crosses the target's close may be lost.
REUSE_FRACTION = 0.5

_Start = tuple[str, int, address.Address]


class ConnectionPool:
    """Holds idle connections per target.

    :param buffers: bounds the replies that are buffered at the same time.
    """

    def __init__(self, buffers: reply_buffers.ReplyBuffers) -> None:
        self._buffers = buffers
        # By the id, start and address of their target: an id may come back
        # with other software while its earlier start still runs.
        self._idle_by_start: dict[
            _Start, list[upstream.UpstreamConnection]
        ] = {}

    def acquire(
        self,
        target: objects.Target,
        now: float,
        *,
        avoid: Collection[upstream.UpstreamConnection] = (),
    ) -> upstream.UpstreamConnection:
        """Return an idle connection to a target, or open a new one.

        :param avoid: connections that must not be returned.
        :raises UnreachableError: if no connection can be opened.
        """
        idle = self._idle_by_start.get(_start(target), [])
        for connection in reversed([c for c in idle if c not in avoid]):
            idle.remove(connection)
            if connection.idle_until > now and connection.is_usable:
                return connection
            connection.close()
        return upstream.UpstreamConnection(
            target.address, CONNECT_TIMEOUT_SECONDS, self._buffers
        )

    def release(
        self,
        target: objects.Target,
        connection: upstream.UpstreamConnection,
        idle_seconds: float | None,
        now: float,
    ) -> None:
        """Return a connection to the pool after a complete response.

        :param idle_seconds: how long the target keeps it when idle; None if
            unknown.
        """
        idle = self._idle_by_start.setdefault(_start(target), [])
        seconds = (
            DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        )
        connection.idle_until = now + seconds * REUSE_FRACTION
        if len(idle) >= MAX_IDLE_PER_TARGET or not connection.is_usable:
            connection.close()
        else:
            idle.append(connection)

    def close_stale(self, known_ids: Container[str], now: float) -> None:
        """Close connections that are too old or whose target was removed.

        :param known_ids: the ids of the listed targets.
        """
        for start, idle in list(self._idle_by_start.items()):
            target_id, *_ = start
            for connection in list(idle):
                if target_id not in known_ids or connection.idle_until <= now:
                    idle.remove(connection)
                    connection.close()
            if not idle:
                del self._idle_by_start[start]


def _start(target: objects.Target) -> _Start:
    return target.id, target.born, target.address
