"""A generation as the engine model runs it."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class Generation:
    """A job in the engine.

    :param prompt_tokens: length of the prompt.
    :param output_tokens: tokens that it will generate; unknown to routing.
    :param priority: lower runs first.
    :param prefix: hashes of the prompt's leading parts.
    :param on_end: called with True when it is whole, False when it is lost.
    :param on_token: called with the time of the first token.
    """

    prompt_tokens: int
    output_tokens: int
    priority: int
    prefix: tuple[int, ...]
    on_end: Callable[[bool], None]
    on_token: Callable[[float], None]
    number: int = 0
    generated: int = 0
    blocks: int = 0
    to_compute: int = 0
    started_at_step: int = 0
    last_token_at: float = -1.0
    is_running: bool = False
    is_decoding: bool = False
    epoch: int = 0
    stalled: float = 0.0
    longest_gap: float = 0.0
