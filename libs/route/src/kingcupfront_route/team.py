"""What routing knows of a team."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer that shares the targets with others.

    :param name: the team's name.
    :param weight: its share, relative to other teams' weights.
    :param max_concurrent: requests in progress in the whole system, if
        bounded.
    :param tokens_per_second: output tokens a second in the whole system, if
        bounded.
    """

    name: str
    weight: float = 1.0
    max_concurrent: int | None = None
    tokens_per_second: float | None = None
