"""Rules that find entries which can never apply."""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator

from kingcupfront_decisions import regions
from kingcupfront_gateway import configuration_draft
from kingcupfront_gateway import configuration_rules

Draft = configuration_draft.Draft
Surroundings = configuration_draft.Surroundings
Found = Iterator[tuple[str, str]]
_subject = configuration_draft.route_subject


def _repeated(names: Iterable[Hashable]) -> list[Hashable]:
    """Return the names that stand more than once, each once."""
    seen: set[Hashable] = set()
    repeated: dict[Hashable, None] = {}
    for name in names:
        if name in seen:
            repeated[name] = None
        seen.add(name)
    return list(repeated)


def _serving_regions(
    allowed: frozenset[str] | None, zones: dict[str, str]
) -> set[str]:
    existing = set(zones.values())
    return existing if allowed is regions.ALL else existing & allowed


@configuration_rules.rule('shadowed_route')
def _shadowed_routes(draft: Draft, _: Surroundings) -> Found:
    first_by_place: dict[tuple[str, str], str] = {}
    for route in draft.routes:
        place, subject = (route.host, route.prefix), _subject(route)
        if place in first_by_place:
            first = first_by_place[place]
            yield subject, f'{first} before it has the same host and prefix'
        else:
            first_by_place[place] = subject


@configuration_rules.rule('unreachable_route')
def _unreachable_routes(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        if not route.host or ':' in route.host or '/' in route.host:
            yield _subject(route), f'no request has the host {route.host!r}'
        if route.prefix and not route.prefix.startswith('/'):
            yield _subject(route), f'no path begins with {route.prefix!r}'


@configuration_rules.rule('route_without_service')
def _routes_without_service(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        if not route.shares:
            yield _subject(route), 'neither a service nor backends'


@configuration_rules.rule('unknown_service')
def _unknown_services(draft: Draft, _: Surroundings) -> Found:
    known = {service.name for service in draft.services}
    for route in draft.routes:
        for share in route.shares:
            if share.service not in known:
                yield _subject(route), f'there is no service {share.service!r}'


@configuration_rules.rule('unusable_weight')
def _unusable_weights(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        for share in route.shares:
            if not share.weight >= 0 or share.weight == float('inf'):
                yield (
                    _subject(route),
                    f'service {share.service!r} has the weight {share.weight}',
                )
        if len(route.shares) > 1 and not any(s.weight for s in route.shares):
            yield _subject(route), 'all its weights are 0'


@configuration_rules.rule('unused_service')
def _unused_services(draft: Draft, _: Surroundings) -> Found:
    used = {share.service for r in draft.routes for share in r.shares}
    for service in draft.services:
        if service.name not in used:
            yield f'service {service.name}', 'no route leads to it'


@configuration_rules.rule('duplicate_service')
def _duplicate_services(draft: Draft, _: Surroundings) -> Found:
    for name in _repeated(service.name for service in draft.services):
        yield f'service {name}', 'it stands more than once; the last counts'


@configuration_rules.rule('duplicate_team')
def _duplicate_teams(draft: Draft, _: Surroundings) -> Found:
    for name in _repeated(row.team.name for row in draft.teams or ()):
        yield f'team {name}', 'it stands more than once'


@configuration_rules.rule('team_without_key')
def _teams_without_key(draft: Draft, _: Surroundings) -> Found:
    for row in draft.teams or ():
        if not any(row.keys):
            yield f'team {row.team.name}', 'no key, so no request is of it'


@configuration_rules.rule('duplicate_key')
def _duplicate_keys(draft: Draft, _: Surroundings) -> Found:
    teams_by_key: dict[str, list[str]] = {}
    for row in draft.teams or ():
        for key in row.keys:
            teams_by_key.setdefault(key, []).append(row.team.name)
    for names in teams_by_key.values():
        if len(names) > 1:
            yield (
                f'team {names[0]}',
                f'one of its keys stands in {", ".join(names)}; the last of '
                f'these counts',
            )


@configuration_rules.rule('route_without_caller')
def _routes_without_caller(draft: Draft, _: Surroundings) -> Found:
    if draft.teams is None or any(
        key for row in draft.teams for key in row.keys
    ):
        return
    for route in draft.routes:
        if not route.is_public:
            yield _subject(route), 'it is not public, and no team has a key'


@configuration_rules.rule('region_without_zone', 'regions_by_zone')
def _regions_without_zone(draft: Draft, around: Surroundings) -> Found:
    entries = [(_subject(r), r.allowed_regions) for r in draft.routes]
    entries += [
        (f'team {row.team.name}', row.team.allowed_regions)
        for row in draft.teams or ()
    ]
    for subject, allowed in entries:
        for name in regions.unusable(allowed, around.regions_by_zone):
            yield subject, f'no zone of the settings is in region {name!r}'


@configuration_rules.rule('no_common_region', 'regions_by_zone')
def _no_common_regions(draft: Draft, around: Surroundings) -> Found:
    """Find routes and teams whose every request would be rejected."""
    zones = around.regions_by_zone

    def is_servable(of_route: frozenset[str], of_team: frozenset[str]) -> bool:
        allowed = regions.permitted(of_route, of_team)
        return bool(_serving_regions(allowed, zones))

    teams = [row.team for row in draft.teams or ()]
    routes = [route for route in draft.routes if not route.is_public]
    if not teams or not routes:
        return
    for route in routes:
        if not any(
            is_servable(route.allowed_regions, team.allowed_regions)
            for team in teams
        ):
            yield (
                _subject(route),
                'it shares a region with a zone with no team',
            )
    for team in teams:
        if not any(
            is_servable(route.allowed_regions, team.allowed_regions)
            for route in routes
        ):
            yield (
                f'team {team.name}',
                'it shares a region with a zone with no route',
            )


@configuration_rules.rule('service_without_target', 'targets')
def _services_without_target(draft: Draft, around: Surroundings) -> Found:
    served = {target.service for target in around.targets}
    for name in dict.fromkeys(service.name for service in draft.services):
        if name not in served:
            yield f'service {name}', 'no target of it is listed'


@configuration_rules.rule(
    'region_without_target', 'targets', 'regions_by_zone'
)
def _regions_without_target(draft: Draft, around: Surroundings) -> Found:
    zones = around.regions_by_zone
    for route in draft.routes:
        if not route.allowed_regions:
            continue
        services = {share.service for share in route.shares}
        found = {
            zones.get(target.zone)
            for target in around.targets
            if target.service in services
        }
        if found.isdisjoint(route.allowed_regions):
            yield (
                _subject(route),
                'no target of its services is in its regions',
            )
