"""Steps for decisions on regions and evacuated zones."""

import random
import types

import behave

from kingcupfront_core import address
from kingcupfront_decisions import evacuations
from kingcupfront_decisions import regions
from kingcupfront_gateway import adapter
from kingcupfront_gateway import candidates
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import gateway
from kingcupfront_gateway import objects
from kingcupfront_gateway import request_record
from kingcupfront_gateway import targets

HOST = 'h'
KEY = 'k'
REGIONS_BY_ZONE = {'a': 'r1', 'b': 'r2', 'c': 'r3'}


def _permitted(text):
    if text == 'all':
        return regions.ALL
    return frozenset() if text == 'none' else frozenset(text.split())


@behave.then(
    'regions "{of_route}" of a route and "{of_team}" of a team permit '
    '"{expected}"'
)
@behave.then(
    'regions "" of a route and "{of_team}" of a team permit "{expected}"'
)
@behave.then(
    'regions "{of_route}" of a route and "" of a team permit "{expected}"'
)
@behave.then('regions "" of a route and "" of a team permit "{expected}"')
def permit(context, expected, of_route='', of_team=''):
    found = regions.permitted(of_route.split(), of_team.split())
    assert found == _permitted(expected), found


@behave.then(
    'a request with regions "{permitted}" may use a target in region '
    '"{region}": {may}'
)
def may_use(context, permitted, region, may):
    region = None if region == 'unknown' else region
    found = regions.permits(_permitted(permitted), region)
    assert found == (may == 'yes')


def _pairs(text):
    return [pair.partition('=')[::2] for pair in text.split()]


@behave.given('zones "{zones}" for region rules')
def zones(context, zones):
    context.regions_by_zone = dict(_pairs(zones))


@behave.then('of the region rules "{rules}" these are unusable: "{unusable}"')
def unusable(context, rules, unusable):
    def read(text):
        return [
            (name, [region for region in found.split(',') if region])
            for name, found in _pairs(text)
        ]

    found = regions.unusable_by_name(read(rules), context.regions_by_zone)
    assert found == dict(read(unusable)), found


@behave.given('no zone under evacuation')
def no_evacuation(context):
    context.evacuations = evacuations.Evacuations()


@behave.when('the evacuation of "{zone}" starts at revision {revision:d}')
def evacuation_starts(context, zone, revision):
    is_known = zone in context.evacuations
    assert context.evacuations.start(zone, revision) is not is_known


@behave.when('the evacuation of "{zone}" is over')
def evacuation_over(context, zone):
    is_known = zone in context.evacuations
    assert context.evacuations.end(zone) is is_known


@behave.then('the evacuation of "{zone}" counts since revision {revision:d}')
def under_evacuation(context, zone, revision):
    assert zone in context.evacuations
    assert context.evacuations.revisions_by_zone == {zone: revision}


@behave.then('no zone is under evacuation')
def none_under_evacuation(context):
    assert not context.evacuations.revisions_by_zone


@behave.then('a full list with evacuations of "{listed}" lacks "{missing}"')
def full_list_lacks(context, listed, missing):
    found = context.evacuations.missing(listed.split(), 0.0)
    assert found == missing.split(), found


def _route(prefix, allowed, is_public=False):
    return objects.Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        retry_mode=objects.RetryMode.AT_MOST_ONCE,
        is_stream=False,
        timeout=1.0,
        latency_objective=1.0,
        priority=0,
        shares=(objects.ServiceShare('plain', 1.0),),
        max_executions=1,
        is_public=is_public,
        allowed_regions=frozenset(filter(None, allowed.split(','))),
    )


def _process(configuration=None):
    return types.SimpleNamespace(
        configuration=configuration,
        settings=types.SimpleNamespace(regions_by_zone=REGIONS_BY_ZONE),
        region_of=REGIONS_BY_ZONE.get,
        evacuations=evacuations.Evacuations(),
        targets=targets.Targets(),
        rng=random.Random(1),
    )


def _configuration(version, routes, teams_by_key):
    return objects.Configuration(
        version,
        {HOST: tuple(routes)},
        {},
        teams_by_key,
        objects.CallerLimits(),
    )


@behave.given(
    'a request on path "{path}" admitted by route "{prefix}" in region '
    '"{region}"'
)
def admitted_request(context, path, prefix, region):
    context.admitted = gateway.Admission(
        _route(prefix, region), objects.Team('t', 0), 1, KEY, path
    )


ANY_TEAM = {KEY: objects.Team('t', 0)}
TEAM_IN_R2 = {KEY: objects.Team('t', 0, frozenset({'r2'}))}
WIDER = _route('/a/', 'r1,r2')
# The version, the routes and the teams of each.
CONFIGURATIONS = {
    'the same version': (1, [_route('/a/', 'r9')], {}),
    'the route in r2': (2, [_route('/a/', 'r2')], ANY_TEAM),
    'the route in all regions': (2, [_route('/a/', '')], ANY_TEAM),
    'another route only': (2, [_route('/other/', 'r2')], ANY_TEAM),
    'a longer route in r3': (
        2,
        [_route('/a/b/', 'r3'), _route('/a/', 'r1')],
        ANY_TEAM,
    ),
    'the route wider, key in r2': (2, [WIDER], TEAM_IN_R2),
    'the route wider, key gone': (2, [WIDER], {}),
    'the route wider and public': (
        2,
        [_route('/a/', 'r1,r2', is_public=True)],
        TEAM_IN_R2,
    ),
}


@behave.when('the configuration in force becomes one with {kind}')
def becomes(context, kind):
    context.configuration = _configuration(*CONFIGURATIONS[kind])


@behave.then('the admitted request may use "{expected}"')
def admitted_may_use(context, expected):
    found = candidates.permitted_regions(
        _process(context.configuration), context.admitted
    )
    assert found == _permitted(expected), found


class _Connection:
    """Records the headers of what is sent; has no reply."""

    def __init__(self):
        self.sent = []

    def send(self, method, target, headers, body, timeout):
        self.sent.append(headers)

    def read_head(self, timeout):
        raise errors.SilentTargetError('no reply in this test')

    def close(self):
        pass


def _target(name, zone):
    return objects.Target(
        name, 'plain', address.Address('10.0.0.1', 80), zone, 6
    )


@behave.given(
    'a send to a target in zone "{zone}" with its backup in zone "{other}"'
)
def prepared_send(context, zone, other):
    process = context.process = _process(
        _configuration(1, [_route('/a/', '')], None)
    )
    connection = context.connection = _Connection()

    def acquire(target, now, *, avoid):
        context.change(process)
        return connection

    process.pool = types.SimpleNamespace(acquire=acquire)
    process.clock = types.SimpleNamespace(monotonic=lambda: 1.0)
    process.platform = types.SimpleNamespace(
        request_headers=lambda metadata, attempt: attempt.backup
    )
    context.state = targets.TargetState(_target('t', zone), None)
    context.backup = _target('b', other)


def _evacuate(zone):
    return lambda process: process.evacuations.start(zone, 7)


def _permit_only(zone):
    def change(process):
        route = _route('/a/', REGIONS_BY_ZONE[zone])
        process.configuration = _configuration(2, [route], None)

    return change


CHANGES = {
    'nothing changes': lambda process: None,
    'zone "a" is evacuated': _evacuate('a'),
    'zone "b" is evacuated': _evacuate('b'),
    'only zone "a" stays permitted': _permit_only('a'),
    'only zone "b" stays permitted': _permit_only('b'),
}


@behave.when('by the time that its connection is open {change}')
def change_during_connect(context, change):
    context.change = CHANGES[change]
    request = types.SimpleNamespace(method='POST', target='/a/', body=b'')
    attempt = adapter.Attempt(context.state.target, 1.0, backup=context.backup)
    try:
        with exchange.send_request(
            context.process,
            context.state,
            request,
            None,
            gateway.Admission(_route('/a/', ''), None, 1),
            attempt,
            request_record.RequestRecord(0.0),
            timeout=1.0,
        ):
            raise AssertionError('there is no reply')
    except errors.TargetError as error:
        context.failure = error


@behave.then('the send is given up with nothing sent')
def given_up(context):
    assert isinstance(context.failure, errors.ForbiddenTargetError)
    assert not context.failure.may_have_run
    assert not context.connection.sent


@behave.then('the send reaches the target {with_backup} a backup')
def reaches_target(context, with_backup):
    assert isinstance(context.failure, errors.SilentTargetError)
    (backup,) = context.connection.sent
    assert (backup is context.backup) == (with_backup == 'with'), backup
