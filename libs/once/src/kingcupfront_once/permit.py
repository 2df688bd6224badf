"""Permits: signed idempotency keys that name the process that issued them."""

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
    """An idempotency key whose call only the issuing process may run.

    :param id: a random id.
    :param owner: the name of the instance that issued it.
    :param incarnation: the incarnation of the issuing process: a number that
        is new with each start.
    :param peer: the address of the issuing process's peer listener.
    :param team: the team that may use it.
    :param service: the service that it is valid for; empty means any.
    :param issued_at: the wall second at which it was issued.
    :param expires_at: the wall second at which it expires: its call is not
        started later.
    :param expires_monotonic: the same time on the monotonic clock of the
        issuing process.
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
    """Signs permits, and verifies those that callers present.

    >>> peer = address.Address('127.0.0.1', 1)
    >>> permit = Permit('id', 'entry-1', 7, peer, 'north', '', 0.0, 9.0, 9.0)
    >>> codec = PermitCodec(['secret'])
    >>> codec.decode(codec.encode(permit), 'north') == permit
    True

    :param secret_values: the secrets that all entries share, oldest first.
    """

    def __init__(self, secret_values: list[str]) -> None:
        self._signer = signing.Signer(secret_values, purpose='permit')

    def encode(self, permit: Permit) -> str:
        """Return the text of a permit, to be used as an idempotency key."""
        fields = dataclasses.asdict(permit) | {'peer': str(permit.peer)}
        return PREFIX + self._signer.sign(fields)

    def decode(self, key: str, team: str) -> Permit:
        """Verify the text of a permit and return the permit.

        :param key: the text that :meth:`encode` returned.
        :param team: the name of the team that presents it.
        :raises UnreadableKeyError: if it is malformed or its signature is not
            valid.
        :raises BadKeyError: if it was issued to another team.
        """
        try:
            fields = self._signer.check(key.removeprefix(PREFIX))
            peer = address.Address.parse(fields['peer'])
            permit = Permit(**(fields | {'peer': peer}))
        except (core_errors.BadInputError, TypeError, LookupError) as error:
            raise errors.UnreadableKeyError(
                'the permit is malformed or its signature is not valid'
            ) from error
        if permit.team != team:
            raise errors.BadKeyError('the permit was issued to another team')
        return permit


def new_id() -> str:
    """Return a new random id of a permit."""
    return secrets.token_urlsafe(ID_BYTES)


def is_permit(key: str) -> bool:
    """Return whether an idempotency key has the prefix of a permit."""
    return key.startswith(PREFIX)
