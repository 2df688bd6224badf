"""A request as the routing code sees it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutingRequest:
    """What is known of a request before it is sent to a target.

    :param id: the request's id.
    :param team: the name of the team that sent it.
    :param service: the name of the service that is to serve it.
    :param place: the name of the data centre where it arrived.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_tokens: the caller's limit on the output in tokens, if any.
    :param priority: requests with a lower value run first.
    :param deadline: the monotonic second by which the first token is due.
    :param prefix: hashes of the prompt's leading blocks, first block first.
    :param prefix_block_tokens: tokens in each of these blocks.
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
