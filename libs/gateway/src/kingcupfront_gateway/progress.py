"""Tracks the events of a generation across engines."""

import dataclasses

from kingcupfront_gateway import errors
from kingcupfront_gateway import server_sent_events

# Bounds comments and other events without a number, which are no progress.
MAX_UNNUMBERED_BYTES = 1024 * 1024


@dataclasses.dataclass
class Progress:
    """Counts the events that all engines have produced for a generation.

    Times are monotonic.

    :param last_event_id: the number of the last forwarded event, or None
        before the first.
    :param forwarded_tokens: the tokens in all forwarded events.
    :param engine_first_event_at: the time of the current engine's first
        event, or None.
    :param last_event_at: the time of the last event.
    :param unnumbered_bytes: the events without a number since then, in bytes.
    """

    last_event_id: int | None = None
    forwarded_tokens: int = 0
    engine_first_event_at: float | None = None
    last_event_at: float = 0.0
    unnumbered_bytes: int = 0

    def accept(
        self, event: server_sent_events.Event, tokens: int, now: float
    ) -> bool:
        """Count an event; return whether it is to be forwarded.

        :param event: the event; one without a number is always forwarded.
        :param tokens: the tokens that it holds.
        :param now: the current monotonic time.
        :raises BrokenReplyError: if an event is missing before it, or if too
            many bytes hold no numbered event.
        """
        if event.id is None:
            self.unnumbered_bytes += len(event.data)
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES:
                raise errors.BrokenReplyError(
                    f'no numbered event within {self.unnumbered_bytes} bytes'
                )
            return True
        self.unnumbered_bytes = 0
        if self.last_event_id is not None:
            if event.id <= self.last_event_id:
                return False
            if event.id != self.last_event_id + 1:
                raise errors.BrokenReplyError(
                    f'events missing: {event.id} follows {self.last_event_id}'
                )
        self.last_event_id = event.id
        self.forwarded_tokens += tokens
        self.last_event_at = now
        if self.engine_first_event_at is None:
            self.engine_first_event_at = now
        return True
