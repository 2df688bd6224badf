"""How far a generation has come, and which event may come next."""

import dataclasses

from kingcupfront_gateway import errors
from kingcupfront_gateway import server_sent_events


@dataclasses.dataclass
class Progress:
    """Counts events over all engines that work on a generation.

    :param last_event: the number of the last event that was passed on, or
        None before the first.
    :param tokens: tokens that were passed on.
    :param first_at: the second of the first event from the present engine,
        or None.
    :param last_at: the second of the last event.
    """

    last_event: int | None = None
    tokens: int = 0
    first_at: float | None = None
    last_at: float = 0.0

    def take(
        self, block: server_sent_events.Event, tokens: int, now: float
    ) -> bool:
        """Return whether an event is to be passed on, and count it.

        :param block: the event; one without a number always passes.
        :param tokens: the tokens that it holds.
        :param now: the present second.
        :raises BrokenReplyError: if an event is missing before it.
        """
        if block.id is None:
            return True
        if self.last_event is not None:
            if block.id <= self.last_event:
                return False
            if block.id != self.last_event + 1:
                raise errors.BrokenReplyError('an event is missing')
        self.last_event = block.id
        self.tokens += tokens
        self.last_at = now
        if self.first_at is None:
            self.first_at = now
        return True
