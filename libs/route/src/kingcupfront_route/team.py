"""A team's share and limits, as the routing code sees them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer that shares the targets with others.

    :param name: the team's name.
    :param weight: its share of a queue, relative to other teams' weights.
    :param max_concurrent: the most requests in progress in the whole system,
        or None for no limit.
    :param tokens_per_second: the most output tokens per second in the whole
        system, or None for no limit.
    """

    name: str
    weight: float = 1.0
    max_concurrent: int | None = None
    tokens_per_second: float | None = None
