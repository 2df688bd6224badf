"""Authenticates teams and authorizes their use of services."""

import hmac

from kingcupfront_config import objects
from kingcupfront_core import team_key
from kingcupfront_entry import errors

BEARER = 'Bearer '


def authenticate(
    current: objects.ObjectSet, authorization: str
) -> objects.Team:
    """Return the team of an ``Authorization`` header.

    The team is looked up by the hash of the key, so the cost does not grow
    with the number of teams. The duration of the look-up may reveal
    something about a hash, but not about a key: to exploit it, a caller
    would need keys whose hashes partly agree with a stored hash, and a key
    whose whole hash agrees is the key itself. The hashes of the team that
    was found are compared in constant time.

    :param current: the configuration in force.
    :param authorization: the header's value.
    :raises NotAllowedError: if no team has the key in the header.
    """
    key = authorization.removeprefix(BEARER).strip()
    digest = team_key.digest(key)
    team = current.teams_by_key_hash.get(digest)
    known = team.key_hashes if team else ()
    matches = [hmac.compare_digest(item, digest) for item in known]
    if team is None or not any(matches):
        raise errors.NotAllowedError('the API key is not valid')
    return team


def authorize(
    current: objects.ObjectSet, team: objects.Team, name: str
) -> objects.Service:
    """Return a service if a team may use it.

    :param current: the configuration in force.
    :param team: the team that sent the request.
    :param name: the name of the service.
    :raises UnknownServiceError: if the service does not exist or the team may
        not use it; the error does not tell which.
    """
    service = current.by_name('service').get(name)
    if service is None or name not in team.services:
        raise errors.UnknownServiceError(f'no service {name!r}')
    return service
