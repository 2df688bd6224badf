"""Faults of the stand-in for a model engine."""

import dataclasses

TOKEN_SECONDS = 0.02


@dataclasses.dataclass
class Faults:
    """Faults that a test can switch on.

    Those that name a number of tokens strike once, then switch off.

    :param refuse: answer 503 to new work.
    :param refuse_resume: answer 503 to a resume, so many times.
    :param stall_after: send nothing more on the connection then.
    :param silent_connections: let so many new connections stay silent.
    :param pause_after: generate nothing then, for ``pause_seconds``.
    :param pause_seconds: how long that takes, in seconds.
    :param die_after: drop the connection and forget the generation then.
    :param restart_after: like ``die_after``, but start a new run under the
        same generation id.
    :param cut_after: drop the connection then.
    :param end_after: end the connection's body then, without an end event.
    :param duplicate: send each event twice.
    :param skip: leave out the event of this number.
    :param cross: send an event of another run before this number.
    :param late: send event 1 again before this number.
    :param bad_request: answer 400 to new work.
    :param token_seconds: seconds between tokens.
    :param held: generate nothing until this is switched off.
    :param cache_gap: lose so many of the next cache events.
    :param cache_down: answer 404 to who asks for cache events.
    :param leaving: report that the engine will leave.
    """

    refuse: bool = False
    refuse_resume: int = 0
    stall_after: int | None = None
    silent_connections: int = 0
    pause_after: int | None = None
    pause_seconds: float = 0.0
    die_after: int | None = None
    restart_after: int | None = None
    cut_after: int | None = None
    end_after: int | None = None
    duplicate: bool = False
    skip: int | None = None
    cross: int | None = None
    late: int | None = None
    bad_request: bool = False
    token_seconds: float = TOKEN_SECONDS
    held: bool = False
    cache_gap: int = 0
    cache_down: bool = False
    leaving: bool = False

    def strikes(self, name: str, number: int) -> bool:
        """Return whether a fault strikes before an event, and use it up.

        :param name: the field of the fault.
        :param number: the event's number.
        """
        after = getattr(self, name)
        if after is None or number <= after:
            return False
        setattr(self, name, None)
        return True

    def hits(self, name: str, number: int) -> bool:
        """Return whether a fault names this event, and use it up."""
        if getattr(self, name) != number:
            return False
        setattr(self, name, None)
        return True
