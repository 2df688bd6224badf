"""Resume handles: signed names of a generation and a place in it."""

import dataclasses

from kingcupfront_core import address
from kingcupfront_core import errors
from kingcupfront_core import signing


@dataclasses.dataclass(frozen=True)
class Handle:
    """Names a generation on its target.

    :param target: where the engine listens.
    :param generation: the generation's id.
    :param team: the team that it belongs to.
    """

    target: address.Address
    generation: str
    team: str


class Handles:
    """Writes and reads the event ids that callers get.

    The signed part names the generation; the number after the last dot is
    free, since a caller may ask for any part of its own generation.

    :param secrets: the shared secrets, oldest first.
    """

    def __init__(self, secrets: list[str]) -> None:
        self._signer = signing.Signer(secrets, purpose='resume')

    def write(self, handle: Handle) -> str:
        """Return the signed part of the event ids."""
        return self._signer.sign(
            [str(handle.target), handle.generation, handle.team]
        )

    def read(self, event_id: str) -> tuple[Handle, int]:
        """Return the handle and the number of an event id.

        :param event_id: the signed part, a dot and a number.
        :raises SignatureError: if it was forged or damaged.
        """
        signed, _, number = event_id.rpartition('.')
        target, generation, team = self._signer.check(signed)
        if not number.isdecimal():
            raise errors.SignatureError('the event id has no number')
        handle = Handle(address.Address.parse(target), generation, team)
        return handle, int(number)
