"""Admits requests that the current configuration allows."""

from kingcupfront_gateway import adapter
from kingcupfront_gateway import caller
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway

# Another instance, which can reach the directory, may serve the retry.
UNCONFIRMED_RETRY_SECONDS = 0.1
STARTING_RETRY_SECONDS = 0.5


def admit(
    process: gateway.Gateway,
    request: caller.Request,
    metadata: adapter.RequestMetadata,
) -> gateway.Admission:
    """Return the route and the team of a request.

    :raises RefusedError: if the request is not allowed, or if the
        configuration is too old to decide.
    """
    configuration = process.configuration
    if configuration is None:
        raise errors.RefusedError(503, 'starting', STARTING_RETRY_SECONDS)
    now = process.clock.monotonic()
    route = configuration.find_route(request.host, request.path)
    if route is None:
        raise _denial_error(process, 404, 'no_route', now)
    team = None
    if configuration.teams_by_key is not None and not route.is_public:
        if not process.freshness.can_trust_keys(now):
            raise errors.RefusedError(
                503, 'keys_unconfirmed', UNCONFIRMED_RETRY_SECONDS
            )
        team = configuration.teams_by_key.get(metadata.key or '')
        if team is None:
            raise _denial_error(process, 401, 'unknown_key', now)
    return gateway.Admission(
        route, team, configuration.version, metadata.key, request.path
    )


def _denial_error(
    process: gateway.Gateway, status: int, reason: str, now: float
) -> errors.RefusedError:
    if process.freshness.can_trust_absence(now):
        return errors.RefusedError(status, reason)
    return errors.RefusedError(
        503, f'{reason}_unconfirmed', UNCONFIRMED_RETRY_SECONDS
    )
