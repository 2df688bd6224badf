"""How far a generation may fill an engine.

Load pattern: a burst of long drafts fills the KV cache of all engines, and
the short checks that arrive meanwhile find no room for a whole objective,
though they need little. Each instance seldom has two requests that wait, so an
order within an instance changes next to nothing.

Every instance leaves the same room on every engine to more urgent requests
(trunk reservation). They see the same reports, so they need no messages.
"""

import typing

from kingcupfront_decisions import urgency

# The next requests for whose more urgent part there is room on each engine.
RESERVED_REQUESTS = 3.0
# The largest part of an engine's KV cache that is reserved.
MAX_RESERVED_PART = 0.3


class Room(typing.NamedTuple):
    """The room that a generation leaves on an engine.

    :param memory_part: the part of the KV cache, from 0 to 1.
    :param slots: the slots.
    """

    memory_part: float = 0.0
    slots: int = 0


NONE = Room()


def room_to_leave(
    wanted: urgency.Urgency,
    demand: urgency.Demand,
    service: str,
    memory_tokens: int,
    crowded_part: float,
    now: float,
) -> Room:
    """Return the room that a generation leaves to others on an engine.

    It shrinks as the request's time passes, so that nothing waits for good.

    :param memory_tokens: the KV cache of the engine.
    :param crowded_part: the part of the reserve that counts, from 0 to 1.
    """
    reserved = RESERVED_REQUESTS * demand.urgent_tokens(
        service, wanted.rank, now
    )
    slots = int(reserved * crowded_part > 0)
    part = reserved / memory_tokens * (1 - wanted.elapsed_part(now))
    return Room(crowded_part * min(part, MAX_RESERVED_PART), slots)
