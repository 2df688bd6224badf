"""A unit of work that needs a target."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutingRequest:
    """What routing knows of a request before it runs.

    :param id: the request's id.
    :param team: the name of the team that asks.
    :param service: the name of the service that is to serve it.
    :param place: the name of the place where it came in.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_tokens: the caller's bound on the output, in tokens.
    :param priority: lower runs first.
    :param deadline: the latest monotonic second for the first token.
    :param prefix: hashes of the prompt's leading blocks, outermost first.
    :param prefix_block_tokens: tokens that each of these hashes stands for.
    """

    id: str
    team: str
    service: str
    place: str
    prompt_tokens: int = 0
    max_tokens: int | None = None
    priority: int = 0
    deadline: float = float('inf')
    prefix: tuple[int, ...] = ()
    prefix_block_tokens: int = 16
