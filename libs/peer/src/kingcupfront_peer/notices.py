"""Gossip of notices: each process forwards a notice once to a few others.

This is the rumour mongering of Demers et al., "Epidemic algorithms for
replicated database maintenance", 1987. A process that a notice did not reach
learns of the change from heartbeats.
"""

import collections
import logging
import random
import secrets
import typing

from kingcupfront_core import clock
from kingcupfront_core import errors as core_errors
from kingcupfront_core import registry
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import member as members

LOG = logging.getLogger(__name__)
SAME_PLACE_COPIES = 3
OTHER_PLACE_COPIES = 2
MAX_SEEN_IDS = 4096
MAX_BODY_BYTES = 600
MAX_REPEATED_NOTICES = 4
REPEATS_PER_NOTICE = 6
MAX_BURST_NOTICES = 100
NOTICES_PER_SECOND = 20.0
ID_BITS = 63

Handler = typing.Callable[[bytes], bool]
SendNotice = typing.Callable[[members.Member, heartbeat_message.Notice], None]


class Notices:
    """Broadcasts notices, handles received ones and forwards them.

    The handler of a topic returns whether the notice was new to this process;
    only then is it forwarded.

    :param place: the data centre of this process.
    :param time: the clock.
    :param rng: the source of random numbers.
    :param live: returns the members that a notice may be sent to.
    :param send: sends a notice to one member.
    """

    def __init__(
        self,
        place: str,
        time: clock.Clock,
        rng: random.Random,
        live: typing.Callable[[], list[members.Member]],
        send: SendNotice,
    ) -> None:
        self.topics: registry.Registry[Handler] = registry.Registry('topic')
        self.dropped = 0
        self._place = place
        self._clock = time
        self._rng = rng
        self._live = live
        self._send = send
        self._seen_ids: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._repeats_by_notice: dict[heartbeat_message.Notice, int] = {}
        self._tokens = float(MAX_BURST_NOTICES)
        self._refilled_at = time.monotonic()

    def broadcast(self, topic: str, body: bytes) -> None:
        """Send a new notice to the other processes.

        :param topic: the name of the topic.
        :param body: the content, at most :data:`MAX_BODY_BYTES`.
        :raises BadInputError: if the body is longer.
        """
        if len(body) > MAX_BODY_BYTES:
            raise core_errors.BadInputError(
                f'notice body is longer than {MAX_BODY_BYTES} bytes'
            )
        notice_id = secrets.randbits(ID_BITS)
        notice = heartbeat_message.Notice(notice_id, topic, body, self._place)
        self._remember(notice)
        self._forward(notice)

    def receive(self, notice: heartbeat_message.Notice) -> None:
        """Handle a notice from a peer once, and forward it if it was new.

        :param notice: the notice.
        :raises UnknownNameError: if the topic has no handler here.
        """
        if notice.id in self._seen_ids or len(notice.body) > MAX_BODY_BYTES:
            return
        self._remember(notice)
        if self.topics.get(notice.topic)(notice.body):
            self._forward(notice)

    def next_repeats(self) -> tuple[heartbeat_message.Notice, ...]:
        """Return the notices to repeat in the next heartbeat."""
        chosen = list(self._repeats_by_notice)[-MAX_REPEATED_NOTICES:]
        for notice in chosen:
            self._repeats_by_notice[notice] -= 1
            if not self._repeats_by_notice[notice]:
                del self._repeats_by_notice[notice]
        return tuple(chosen)

    def choose_receivers(self) -> list[members.Member]:
        """Return random members to notify, more in this data centre."""
        live = self._live()
        same_place = [m for m in live if m.place == self._place]
        other_places = [m for m in live if m.place != self._place]
        return self._rng.sample(
            same_place, min(SAME_PLACE_COPIES, len(same_place))
        ) + self._rng.sample(
            other_places, min(OTHER_PLACE_COPIES, len(other_places))
        )

    def _remember(self, notice: heartbeat_message.Notice) -> None:
        self._seen_ids[notice.id] = None
        if len(self._seen_ids) > MAX_SEEN_IDS:
            self._seen_ids.popitem(last=False)

    def _forward(self, notice: heartbeat_message.Notice) -> None:
        self._repeats_by_notice[notice] = REPEATS_PER_NOTICE
        for receiver in self.choose_receivers():
            if not self._take_token():
                self.dropped += 1
                return
            self._send(receiver, notice)

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * NOTICES_PER_SECOND
        self._tokens = min(MAX_BURST_NOTICES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
