"""How long callers' connections may be idle while the time-out changes.

Callers do not hear of a lower idle time-out at the same moment as a gateway
does. One that keeps to the former time-out may send a request just as its
connection is closed, and cannot tell whether the request was read.
"""

import dataclasses

# How long after a change callers may still keep to the former time-out.
CALLERS_LAG_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class _Replaced:
    """An idle time-out that is not in force any more."""

    seconds: float
    until: float


class IdleTimeouts:
    """The idle time-outs that were in force lately."""

    def __init__(self) -> None:
        # Each is longer than the ones after it.
        self._replaced: list[_Replaced] = []

    def record_replaced(self, seconds: float, now: float) -> None:
        """Record that an idle time-out is not in force any more.

        :param now: the monotonic time in seconds.
        """
        self._replaced = [
            known
            for known in self._replaced
            if known.seconds > seconds
            and now <= known.until + CALLERS_LAG_SECONDS + known.seconds
        ]
        self._replaced.append(_Replaced(seconds, now))

    def allowed(self, idle_since: float, in_force: float) -> float:
        """Return for how many seconds a connection may be idle.

        :param idle_since: the monotonic time in seconds since when it is.
        :param in_force: the idle time-out in force, in seconds.
        """
        oldest = idle_since - CALLERS_LAG_SECONDS
        lately = [r.seconds for r in self._replaced if r.until >= oldest]
        return max([in_force, *lately])
