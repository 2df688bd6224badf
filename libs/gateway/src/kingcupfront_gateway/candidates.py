"""Lists the targets that a request may use at the moment.

First sends, repeats, resumes, backups and migrations all ask again right
before they send, as the configuration and the targets change meanwhile.
"""

from kingcupfront_decisions import regions
from kingcupfront_decisions import software_versions
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import retry_after
from kingcupfront_gateway import targets
from kingcupfront_gateway import warmth


def for_request(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    service: str,
    now: float,
    begun: software_versions.Begun | None = None,
) -> list[targets.TargetState]:
    """Return the targets of a service that a request may use.

    :param admitted: the admission of the request.
    :param now: the current monotonic time in seconds.
    :param begun: how its stream began; None before the first event.
    """
    permitted = permitted_regions(process, admitted)
    return [
        state
        for state in process.targets.available(service, now)
        if may_carry_on(begun, state)
        and _may_reach(process, permitted, state)
        and warmth.may_send(process, state, now)
    ]


def allows(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    state: targets.TargetState,
    now: float,
) -> bool:
    """Return whether a request may be sent to a target at the moment.

    :param admitted: the admission of the request.
    :param now: the current monotonic time in seconds.
    """
    return (
        state.accepts_work(now)
        and may_reach(process, admitted, state)
        and warmth.may_send(process, state, now)
    )


def may_carry_on(
    begun: software_versions.Begun | None, state: targets.TargetState
) -> bool:
    """Return whether a target's software may carry on a stream.

    :param begun: how the stream began; None before its first event.
    """
    return software_versions.may_carry_on(begun, state.software_version)


def may_reach(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    state: targets.TargetState,
) -> bool:
    """Return whether a request may reach a target, whatever its state."""
    return may_reach_zone(process, admitted, state.target.zone)


def may_reach_zone(
    process: gateway.Gateway, admitted: gateway.Admission, zone: str
) -> bool:
    """Return whether a request may reach the targets of a data centre."""
    permitted = permitted_regions(process, admitted)
    return _may_reach_zone(process, permitted, zone)


def raise_if_forbidden(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    state: targets.TargetState,
    begun: software_versions.Begun | None = None,
) -> None:
    """Raise if a request may not be sent to a target any more.

    :param begun: how its stream began; None before the first event.
    :raises ForbiddenTargetError: nothing was sent then.
    """
    if not may_carry_on(begun, state):
        raise errors.OtherVersionError(
            f'{state.target.id} has software {state.software_version}, the '
            f'stream began at {begun.version}'
        )
    if not may_reach(process, admitted, state):
        raise errors.ForbiddenTargetError(
            f'{state.target.id} in {state.target.zone} may not get the request'
        )


def permitted_regions(
    process: gateway.Gateway, admitted: gateway.Admission
) -> frozenset[str] | None:
    """Return the regions that the configuration in force permits.

    A route or team that is no longer configured keeps the regions under which
    the request was admitted.
    """
    route, team = admitted.route, admitted.team
    configuration = process.configuration
    if configuration is not None and configuration.version != admitted.version:
        path = admitted.path or route.prefix
        route = configuration.find_route(route.host, path) or route
        if not route.is_public:
            teams_by_key = configuration.teams_by_key or {}
            team = teams_by_key.get(admitted.key or '', team)
    return regions.permitted(
        route.allowed_regions, team.allowed_regions if team else ()
    )


def first_return(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    service: str,
    now: float,
) -> float | None:
    """Return the seconds until the first silent target of a request is back.

    None if one accepts work, or if none is silent.
    """
    permitted = permitted_regions(process, admitted)
    return process.targets.first_return(
        service, now, lambda state: _may_reach(process, permitted, state)
    )


def refuse_if_impossible(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    seconds_left: float | None,
) -> None:
    """Refuse a request that no target may serve, whatever their load.

    :param seconds_left: the time that the caller has for a generation; None
        for a plain request.
    :raises RefusedError: it was not executed and will not be.
    """
    permitted = permitted_regions(process, admitted)
    known_regions = process.settings.regions_by_zone.values()
    if permitted is not regions.ALL and permitted.isdisjoint(known_regions):
        # Only a change of the configuration helps, so no time to retry.
        raise errors.RefusedError(503, 'no_allowed_region')
    if not process.evacuations.revisions_by_zone:
        return
    services = {share.service for share in admitted.route.shares}
    zones = {
        state.target.zone
        for state in process.targets.by_id.values()
        if state.target.service in services
        and not state.is_leaving
        and regions.permits(permitted, process.region_of(state.target.zone))
    }
    if zones and all(zone in process.evacuations for zone in zones):
        raise retry_after.refusal('zones_evacuated', seconds_left, process.rng)


def _may_reach(
    process: gateway.Gateway,
    permitted: frozenset[str] | None,
    state: targets.TargetState,
) -> bool:
    return _may_reach_zone(process, permitted, state.target.zone)


def _may_reach_zone(
    process: gateway.Gateway, permitted: frozenset[str] | None, zone: str
) -> bool:
    return zone not in process.evacuations and regions.permits(
        permitted, process.region_of(zone)
    )
