"""Permits: signed idempotency keys that name the process that runs them."""

import dataclasses
import secrets

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import signing
from kingcupfront_once import errors

PREFIX = 'kcf1.'
ID_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Permit:
    """An idempotency key that only its owner may run.

    :param id: a random id.
    :param owner: the owner's instance name.
    :param incarnation: the owner's random process number.
    :param peer: where the owner's peer listener is.
    :param team: the team that may use it.
    :param service: the service that it is for; empty means any.
    :param issued_at: wall second at which it was issued.
    :param expires_at: wall second after which it is not run any more.
    :param expires_monotonic: the same on the owner's monotonic clock.
    """

    id: str
    owner: str
    incarnation: int
    peer: address.Address
    team: str
    service: str
    issued_at: float
    expires_at: float
    expires_monotonic: float


class PermitCodec:
    """Writes and reads permits.

    >>> peer = address.Address('127.0.0.1', 1)
    >>> permit = Permit('id', 'entry-1', 7, peer, 'north', '', 0.0, 9.0, 9.0)
    >>> codec = PermitCodec(['secret'])
    >>> codec.decode(codec.encode(permit), 'north') == permit
    True

    :param values: the shared secrets, oldest first.
    """

    def __init__(self, secret_values: list[str]) -> None:
        self._signer = signing.Signer(secret_values, purpose='permit')

    def encode(self, permit: Permit) -> str:
        """Return a permit as the text of an idempotency key."""
        fields = dataclasses.asdict(permit) | {'peer': str(permit.peer)}
        return PREFIX + self._signer.sign(fields)

    def decode(self, key: str, team: str) -> Permit:
        """Return the permit of an idempotency key.

        :param key: the text that :meth:`encode` returned.
        :param team: the team that presents it.
        :raises UnreadableKeyError: if it was forged or damaged.
        :raises BadKeyError: if it was issued to another team.
        """
        try:
            fields = self._signer.check(key.removeprefix(PREFIX))
            peer = address.Address.parse(fields['peer'])
            permit = Permit(**(fields | {'peer': peer}))
        except (core_errors.BadInputError, TypeError, LookupError) as error:
            raise errors.UnreadableKeyError(
                'the permit is not valid'
            ) from error
        if permit.team != team:
            raise errors.BadKeyError('the permit is of another team')
        return permit


def new_id() -> str:
    """Return a fresh random id."""
    return secrets.token_urlsafe(ID_BYTES)


def is_permit(key: str) -> bool:
    """Return whether an idempotency key claims to be a permit."""
    return key.startswith(PREFIX)
