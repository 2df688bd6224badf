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

    last_event_id: int | None = None
    forwarded_tokens: int = 0
    engine_first_event_at: float | None = None
    last_event_at: float = 0.0

    def accept(
        self, event: server_sent_events.Event, tokens: int, now: float
    ) -> bool:
        """Return whether an event is to be passed on, and count it.

        :param block: the event; one without a number always passes.
        :param tokens: the tokens that it holds.
        :param now: the present second.
        :raises BrokenReplyError: if an event is missing before it.
        """
        if event.id is None:
            return True
        if self.last_event_id is not None:
            if event.id <= self.last_event_id:
                return False
            if event.id != self.last_event_id + 1:
                raise errors.BrokenReplyError('an event is missing')
        self.last_event_id = event.id
        self.forwarded_tokens += tokens
        self.last_event_at = now
        if self.engine_first_event_at is None:
            self.engine_first_event_at = now
        return True
