"""Idle connections to targets, kept for the next request."""

from collections.abc import Container

from kingcupfront_gateway import objects
from kingcupfront_gateway import upstream

CONNECT_TIMEOUT_SECONDS = 0.4
MAX_IDLE_PER_TARGET = 8
# Where a target does not tell how long it keeps an idle connection.
DEFAULT_IDLE_SECONDS = 2.0
# The part of that time in which a connection is used again: a request that
# crosses the target's close may be lost.
IDLE_PART = 0.5


class ConnectionPool:
    """Keeps idle connections by target."""

    def __init__(self) -> None:
        self._idle_by_id: dict[str, list[upstream.UpstreamConnection]] = {}

    def acquire(
        self, target: objects.Target, now: float
    ) -> upstream.UpstreamConnection:
        """Return an idle connection to a target, or a new one.

        :raises UnreachableError: if none can be opened.
        """
        idle = self._idle_by_id.get(target.id, [])
        while idle:
            link = idle.pop()
            if link.idle_until > now and link.is_usable:
                return link
            link.close()
        return upstream.UpstreamConnection(
            target.address, CONNECT_TIMEOUT_SECONDS
        )

    def release(
        self,
        target: objects.Target,
        link: upstream.UpstreamConnection,
        idle_seconds: float | None,
        now: float,
    ) -> None:
        """Take back a connection after a whole reply."""
        idle = self._idle_by_id.setdefault(target.id, [])
        seconds = (
            DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        )
        link.idle_until = now + seconds * IDLE_PART
        if len(idle) >= MAX_IDLE_PER_TARGET or not link.is_usable:
            link.close()
        else:
            idle.append(link)

    def close_stale(self, known: Container[str], now: float) -> None:
        """Close connections that are too old or whose target is gone.

        :param known: the ids of the targets that are listed.
        """
        for target_id, idle in list(self._idle_by_id.items()):
            for link in list(idle):
                if target_id not in known or link.idle_until <= now:
                    idle.remove(link)
                    link.close()
            if not idle:
                del self._idle_by_id[target_id]
