"""Who may call, and for what."""

import hashlib
import hmac

from kingcupfront_config import objects
from kingcupfront_entry import errors

BEARER = 'Bearer '


def authenticate(
    current: objects.ObjectSet, authorization: str
) -> objects.Team:
    """Return the team of an ``Authorization`` header.

    Every key hash is compared in constant time and none is skipped.

    :param current: the configuration in force.
    :param authorization: the header's value.
    :raises NotAllowedError: if no team has this key.
    """
    key = authorization.removeprefix(BEARER).strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    found = None
    for team in current.by_name('team').values():
        for known in team.key_hashes:
            if hmac.compare_digest(known, digest):
                found = team
    if found is None:
        raise errors.NotAllowedError('the API key is not valid')
    return found


def authorize(
    current: objects.ObjectSet, team: objects.Team, name: str
) -> objects.Service:
    """Return a service that a team may use.

    :param current: the configuration in force.
    :param team: the team that asks.
    :param name: a service's name.
    :raises UnknownServiceError: if there is none, or not for this team.
    """
    service = current.by_name('service').get(name)
    if service is None or name not in team.services:
        raise errors.UnknownServiceError(f'no service {name!r}')
    return service
