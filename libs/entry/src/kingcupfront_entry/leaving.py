"""Targets that are leaving or held back and get no new requests.

An entry that learns that a target is leaving notifies the other entries.
"""

import dataclasses
import logging
import typing

from kingcupfront_core import clock
from kingcupfront_peer import codec
from kingcupfront_peer import notices

LOG = logging.getLogger(__name__)
LIST = 'list'
REPORT = 'report'
SIGN_MAX_AGE_SECONDS = 120.0


@dataclasses.dataclass(frozen=True)
class Sign:
    """A sign that a target is leaving.

    :param target: the target's id.
    :param source: where the sign comes from, :data:`LIST` or :data:`REPORT`.
    :param number: the list's index or the report's number, which orders what
        the source says.
    :param seen_at: the monotonic second at which this process recorded it.
    """

    target: str
    source: str
    number: int
    seen_at: float


class LeavingTargets:
    """Records signs that targets are leaving and notifies other entries.

    A sign ends when its source says otherwise at a higher number. A target
    that restarts numbers its reports from one again, so its source may end a
    sign older than :data:`SIGN_MAX_AGE_SECONDS` at any number.

    :param peer_notices: the notices to and from other entries.
    :param time: the clock.
    """

    def __init__(
        self, peer_notices: notices.Notices, time: clock.Clock
    ) -> None:
        self.listeners: list[typing.Callable[[], None]] = []
        self._notices = peer_notices
        self._clock = time
        self._signs_by_key: dict[tuple[str, str], Sign] = {}
        self._held_until_by_target: dict[str, float] = {}
        peer_notices.topics.register('leaving')(self._on_notice)

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
        """Record what the list or a target's own report says.

        :param target: the target's id.
        :param source: :data:`LIST` or :data:`REPORT`.
        :param number: the list's index or the report's number.
        :param leaving: whether the source says that the target is leaving.
        """
        if leaving:
            if self._record(target, source, number):
                self._notices.broadcast(
                    'leaving', self._encode_sign(target, source)
                )
            return
        known_sign = self._signs_by_key.get((target, source))
        if known_sign is None:
            return
        age = self._clock.monotonic() - known_sign.seen_at
        if number > known_sign.number or age > SIGN_MAX_AGE_SECONDS:
            del self._signs_by_key[target, source]
            self._notify_listeners(target, source, False)

    def hold(self, target: str, seconds: float) -> None:
        """Hold back new requests from a target while it gets an order.

        :param target: the target's id.
        :param seconds: how long to hold them back; 0 ends the hold.
        """
        until = self._clock.monotonic() + seconds
        self._held_until_by_target[target] = until
        for listener in self.listeners:
            listener()

    def expire_holds(self) -> None:
        """Remove holds whose time is over."""
        now = self._clock.monotonic()
        expired = [
            t for t, e in self._held_until_by_target.items() if e <= now
        ]
        for target in expired:
            del self._held_until_by_target[target]
        for listener in self.listeners if expired else ():
            listener()

    def forget_unlisted(self, listed_targets: set[str]) -> None:
        """Remove old signs of targets that are no longer listed.

        :param listed_targets: the ids of the listed targets.
        """
        for key, sign in list(self._signs_by_key.items()):
            age = self._clock.monotonic() - sign.seen_at
            if key[0] not in listed_targets and age > SIGN_MAX_AGE_SECONDS:
                del self._signs_by_key[key]

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the signs for a state dump."""
        return {
            f'{target} {source}': sign.number
            for (target, source), sign in sorted(self._signs_by_key.items())
        }

    def _record(self, target: str, source: str, number: int) -> bool:
        known_sign = self._signs_by_key.get((target, source))
        if known_sign is not None and known_sign.number >= number:
            return False
        now = self._clock.monotonic()
        sign = Sign(target, source, number, now)
        self._signs_by_key[target, source] = sign
        if known_sign is None:
            self._notify_listeners(target, source, True)
        return known_sign is None

    def _notify_listeners(
        self, target: str, source: str, leaving: bool
    ) -> None:
        LOG.info(
            'target_leaving' if leaving else 'target_stays',
            extra={'target': target, 'source': source},
        )
        for listener in self.listeners:
            listener()

    def _encode_sign(self, target: str, source: str) -> bytes:
        sign = self._signs_by_key[target, source]
        return codec.schema.Leaving.new_message(
            target=target, source=source, number=sign.number
        ).to_bytes()

    def _on_notice(self, body: bytes) -> bool:
        with codec.open_struct(codec.schema.Leaving, body) as notice:
            if notice.source not in (LIST, REPORT):
                return False
            return self._record(notice.target, notice.source, notice.number)
