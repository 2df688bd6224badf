"""News that each process passes on once to a few others.

Rumour mongering of Demers et al., "Epidemic algorithms for replicated
database maintenance", 1987. What a notice misses, heartbeats repair.
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
Send = typing.Callable[[members.Member, heartbeat_message.Notice], None]


class Notices:
    """Sends out news, passes it on and drops what it has seen.

    A handler returns whether the news was new to it; only then is it passed
    on.

    :param place: the own place.
    :param time: the clock.
    :param rng: the source of random numbers.
    :param live: returns the members that may get it.
    :param send: sends a notice to one member.
    """

    def __init__(
        self,
        place: str,
        time: clock.Clock,
        rng: random.Random,
        live: typing.Callable[[], list[members.Member]],
        send: Send,
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
        """Tell the other processes something.

        :param topic: what it is about.
        :param body: what it says, at most :data:`MAX_BODY_BYTES`.
        """
        if len(body) > MAX_BODY_BYTES:
            raise core_errors.BadInputError('a notice is too long')
        number = secrets.randbits(ID_BITS)
        notice = heartbeat_message.Notice(number, topic, body, self._place)
        self._remember(notice)
        self._forward(notice)

    def receive(self, notice: heartbeat_message.Notice) -> None:
        """Act on a notice from a peer, once, and pass it on.

        :param notice: the notice.
        :raises UnknownNameError: if the topic is not known here.
        """
        if notice.id in self._seen_ids or len(notice.body) > MAX_BODY_BYTES:
            return
        self._remember(notice)
        if self.topics.get(notice.topic)(notice.body):
            self._forward(notice)

    def next_repeats(self) -> tuple[heartbeat_message.Notice, ...]:
        """Return news to repeat in a heartbeat."""
        chosen = list(self._repeats_by_notice)[-MAX_REPEATED_NOTICES:]
        for notice in chosen:
            self._repeats_by_notice[notice] -= 1
            if not self._repeats_by_notice[notice]:
                del self._repeats_by_notice[notice]
        return tuple(chosen)

    def choose_receivers(self) -> list[members.Member]:
        """Return members to tell news to, more of them in the own place."""
        live = self._live()
        near = [m for m in live if m.place == self._place]
        far = [m for m in live if m.place != self._place]
        return self._rng.sample(
            near, min(SAME_PLACE_COPIES, len(near))
        ) + self._rng.sample(far, min(OTHER_PLACE_COPIES, len(far)))

    def _remember(self, notice: heartbeat_message.Notice) -> None:
        self._seen_ids[notice.id] = None
        if len(self._seen_ids) > MAX_SEEN_IDS:
            self._seen_ids.popitem(last=False)

    def _forward(self, notice: heartbeat_message.Notice) -> None:
        self._repeats_by_notice[notice] = REPEATS_PER_NOTICE
        for item in self.choose_receivers():
            if not self._take_token():
                self.dropped += 1
                return
            self._send(item, notice)

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * NOTICES_PER_SECOND
        self._tokens = min(MAX_BURST_NOTICES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
