"""Signed resume handles, which identify a run of a generation."""

import dataclasses

from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_core import errors
from kingcupfront_core import signing

LIFETIME_SECONDS = 3600


@dataclasses.dataclass(frozen=True)
class Handle:
    """Identifies a run of a generation on its target.

    :param target: where the engine listens.
    :param generation: the generation's id.
    :param run: the engine's name for the run.
    :param team: the team that owns the generation.
    """

    target: address.Address
    generation: str
    run: bytes
    team: str


class ExpiredError(errors.SignatureError):
    """Raised if the lifetime of a resume handle has passed."""

    code = 'handle_expired'


class Handles:
    """Signs and verifies the event ids that callers receive.

    The signed part holds the run and its expiry time in seconds. The event
    number after the last dot is not signed: a caller may read any part of
    its own generation, and signing each number would cost more than all
    other work for a token.

    :param secrets: the shared secrets, oldest first.
    :param time: the clock; the clocks of entries may differ by seconds.
    """

    def __init__(
        self, secrets: list[str], time: clock.Clock = clock.SYSTEM
    ) -> None:
        self._signer = signing.Signer(secrets, purpose='resume')
        self._clock = time

    def write(self, handle: Handle) -> bytes:
        """Return the signed part of the event ids."""
        expires_at = int(self._clock.wall()) + LIFETIME_SECONDS
        run = handle.run.decode('ascii', 'replace')
        return self._signer.sign(
            [
                str(handle.target),
                handle.generation,
                run,
                handle.team,
                expires_at,
            ]
        ).encode()

    def read(self, event_id: str) -> tuple[Handle, int]:
        """Return the handle and the event number of an event id.

        :param event_id: the signed part, a dot and the event number.
        :raises SignatureError: if the signature or the number is invalid.
        :raises ExpiredError: if its lifetime has passed.
        """
        signed, _, number = event_id.rpartition('.')
        target, generation, run, team, expires_at = self._signer.check(signed)
        if not number.isascii() or not number.isdecimal():
            raise errors.SignatureError(
                'the event id does not end in a decimal number'
            )
        if self._clock.wall() > expires_at:
            raise ExpiredError('the event id has expired')
        handle = Handle(
            address.Address.parse(target), generation, run.encode(), team
        )
        return handle, int(number)
