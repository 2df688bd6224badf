"""Who may call, and for what."""

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
    with the number of teams. The time of the look-up can show something
    about a hash, never about a key: to steer the look-up, a caller would
    need keys whose hashes agree with a known hash, and one that agrees in
    full is the key itself. What was found is compared in constant time.

    :param current: the configuration in force.
    :param authorization: the header's value.
    :raises NotAllowedError: if no team has this key.
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
