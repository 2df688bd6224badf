"""Targets that want no new work, as soon as any entry has a sign of it."""

import dataclasses
import logging
import typing

from kingcupfront_core import clock
from kingcupfront_peer import codec
from kingcupfront_peer import notices

LOG = logging.getLogger(__name__)
LIST = 'list'
REPORT = 'report'
MAX_AGE_SECONDS = 120.0


@dataclasses.dataclass(frozen=True)
class Sign:
    """One sign that a target leaves.

    :param target: the target's id.
    :param source: whose sign it is, :data:`LIST` or :data:`REPORT`.
    :param number: grows with what that source says: the list's index or
        the report's number.
    :param seen_at: the monotonic second at which this process saw it.
    """

    target: str
    source: str
    number: int
    seen_at: float


class LeavingTargets:
    """Collects signs and passes them on.

    A sign ends when its own source, at a higher number, says otherwise. As
    a target that starts again counts from one, a sign that is old ends with
    any word to the contrary.

    :param news: passes signs on to other entries.
    :param time: the clock.
    """

    def __init__(self, news: notices.Notices, time: clock.Clock) -> None:
        self.listeners: list[typing.Callable[[], None]] = []
        self._notices = news
        self._clock = time
        self._signs_by_key: dict[tuple[str, str], Sign] = {}
        self._held_until_by_target: dict[str, float] = {}
        news.topics.register('leaving')(self._on_notice)

    def __contains__(self, target: object) -> bool:
        held_until = self._held_until_by_target.get(str(target), 0.0)
        if held_until > self._clock.monotonic():
            return True
        return any(
            (target, source) in self._signs_by_key for source in (LIST, REPORT)
        )

    def observe(
        self, target: str, source: str, number: int, leaving: bool
    ) -> None:
        """Take in what the list or a target's own report says.

        :param target: the target's id.
        :param source: :data:`LIST` or :data:`REPORT`.
        :param number: the list's index or the report's number.
        :param leaving: whether the target leaves.
        """
        if leaving:
            if self._note(target, source, number):
                self._notices.broadcast(
                    'leaving', self._encode(target, source)
                )
            return
        known = self._signs_by_key.get((target, source))
        if known is None:
            return
        age = self._clock.monotonic() - known.seen_at
        if number > known.number or age > MAX_AGE_SECONDS:
            del self._signs_by_key[target, source]
            self._changed(target, source, False)

    def hold(self, target: str, seconds: float) -> None:
        """Give a target no new work for a while, for an order to it.

        :param target: the target's id.
        :param seconds: for how long, in seconds; 0 ends it.
        """
        until = self._clock.monotonic() + seconds
        self._held_until_by_target[target] = until
        for listener in self.listeners:
            listener()

    def expire_holds(self) -> None:
        """Give targets new work again whose time is over."""
        now = self._clock.monotonic()
        over = [t for t, e in self._held_until_by_target.items() if e <= now]
        for target in over:
            del self._held_until_by_target[target]
        for listener in self.listeners if over else ():
            listener()

    def forget_unlisted(self, targets: set[str]) -> None:
        """Forget the signs of targets that are no longer listed."""
        for key, sign in list(self._signs_by_key.items()):
            age = self._clock.monotonic() - sign.seen_at
            if key[0] not in targets and age > MAX_AGE_SECONDS:
                del self._signs_by_key[key]

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the signs for a state dump."""
        return {
            f'{target} {source}': sign.number
            for (target, source), sign in sorted(self._signs_by_key.items())
        }

    def _note(self, target: str, source: str, number: int) -> bool:
        known = self._signs_by_key.get((target, source))
        if known is not None and known.number >= number:
            return False
        now = self._clock.monotonic()
        sign = Sign(target, source, number, now)
        self._signs_by_key[target, source] = sign
        if known is None:
            self._changed(target, source, True)
        return known is None

    def _changed(self, target: str, source: str, leaving: bool) -> None:
        LOG.info(
            'target_leaving' if leaving else 'target_stays',
            extra={'target': target, 'source': source},
        )
        for listener in self.listeners:
            listener()

    def _encode(self, target: str, source: str) -> bytes:
        sign = self._signs_by_key[target, source]
        return codec.schema.Leaving.new_message(
            target=target, source=source, number=sign.number
        ).to_bytes()

    def _on_notice(self, body: bytes) -> bool:
        with codec.open_struct(codec.schema.Leaving, body) as told:
            if told.source not in (LIST, REPORT):
                return False
            return self._note(told.target, told.source, told.number)
