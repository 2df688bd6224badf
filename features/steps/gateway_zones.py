"""Steps for regions of requests and evacuations of zones."""

import json
import time

import behave
import gevent
from gevent import event

from features.support import log_capture
from features.support import platform_site

# An operator's evacuation holds from this time on.
EVACUATION_SECONDS = 5.0
# Long enough for a request to wait for room while a test changes something.
PATIENT_ROUTE = {'target_latency_ms': 3000, 'timeout_ms': 20000}
DEADLINE_MS = 20000
LOGGERS = ('kingcupfront_gateway', 'kingcupfront_platform')
TEAM = 'north'


def _add(context, names, add):
    for text in names.split():
        name, _, zone = text.partition('@')
        add(name, zone=zone)


def _in_zones(context, zones):
    return [
        target
        for target in context.site.targets.values()
        if target.zone in zones.split()
    ]


def _runs_by_zone(context, attempt=None):
    counts = {}
    for target in context.site.targets.values():
        runs = [r for r in target.runs if attempt in (None, r)]
        if runs:
            counts[target.zone] = counts.get(target.zone, 0) + len(runs)
    return counts


def _published(context):
    site = context.site
    site.wait_until(lambda: site.gateway.configuration.version == site.version)


@behave.given('a zoned site with targets "{names}"')
def zoned_site(context, names):
    context.site = platform_site.Site(context.stack)
    _add(context, names, context.site.add_plain)
    for name in ('stream', 'resume'):
        context.site.routes[name] |= PATIENT_ROUTE


@behave.given('zoned engines "{names}"')
def zoned_engines(context, names):
    _add(context, names, context.site.add_engine)
    for engine in context.site.targets.values():
        engine.reports_backups = True


@behave.given('zoned engines make {count:d} events')
def zoned_events(context, count):
    for target in context.site.targets.values():
        target.events = count


@behave.given('zoned engines "{names}" have no room for now')
def zoned_no_room(context, names):
    for name in names.split():
        context.site.targets[name].is_full = True


@behave.given('zoned targets "{names}" are not listed')
def zoned_unlisted(context, names):
    for name in names.split():
        del context.site.targets[name]
        context.site.store.delete(f'servers/{name}')


@behave.given('zoned route "{route}" allows regions "{regions}"')
@behave.given('zoned route "{route}" allows regions ""')
def zoned_route_regions(context, route, regions=''):
    context.site.routes[route]['allowed_regions'] = regions.split()


@behave.given('the zoned team allows regions "{regions}"')
@behave.given('the zoned team allows regions ""')
def zoned_team_regions(context, regions=''):
    context.site.team_regions = regions.split()


@behave.given('zone "{zone}" was evacuated before')
def zoned_evacuated_before(context, zone):
    context.site.store.put(f'op/evacuate/{zone}', {})


def _capture_logs(context):
    context.zoned_records = [
        context.stack.enter_context(log_capture.capturing(name))
        for name in LOGGERS
    ]


@behave.given('the zoned gateway runs')
def zoned_gateway(context):
    site = context.site
    _capture_logs(context)
    site.start()
    site.wait_until(
        lambda: set(site.targets) <= set(site.gateway.targets.by_id)
    )


def _logged(context, name):
    return [
        record
        for records in context.zoned_records
        for record in log_capture.events(records, name)
    ]


@behave.when('zoned callers send {count:d} requests to route "{route}"')
def zoned_ask(context, count, route):
    context.zoned_answers, context.zoned_seconds = [], []
    for target in context.site.targets.values():
        target.runs.clear()
    for _ in range(count):
        start = time.monotonic()
        answer = context.site.ask(route, deadline_ms=DEADLINE_MS)
        context.zoned_answers.append(answer)
        context.zoned_seconds.append(time.monotonic() - start)


@behave.then('each zoned caller got status {status:d}')
def zoned_status(context, status):
    found = [answer.status for answer in context.zoned_answers]
    assert set(found) == {status}, context.zoned_answers


@behave.then('zoned requests ran in "{zones}" only')
def zoned_ran_only(context, zones):
    found = _runs_by_zone(context)
    assert found and set(found) <= set(zones.split()), found


@behave.then('zoned requests ran in "{zones}" both')
def zoned_ran_both(context, zones):
    found = _runs_by_zone(context)
    assert set(found) <= set(zones.split()), found
    # Random placement may leave out the more distant zone.
    assert zones.split()[0] in found, found


@behave.then('no zoned request ran')
def zoned_none_ran(context):
    assert not _runs_by_zone(context)


@behave.then(
    'each zoned caller was refused with "{reason}" within {seconds:g} seconds'
)
def zoned_refused(context, reason, seconds):
    for answer in context.zoned_answers:
        assert answer.status == 503, answer
        assert answer.body == reason.encode() + b'\n', answer
    assert max(context.zoned_seconds) < seconds, context.zoned_seconds


@behave.then('the zoned refusals have {some} Retry-After')
def zoned_retry_after(context, some):
    for answer in context.zoned_answers:
        value = answer.headers.get('retry-after')
        assert (value is None) == (some == 'no'), answer
        assert value is None or float(value) > 0, answer


@behave.then(
    'the zoned refusals of "{reason}" are counted and logged with regions '
    '"{regions}"'
)
@behave.then(
    'the zoned refusals of "{reason}" are counted and logged with regions ""'
)
def zoned_counted(context, reason, regions=''):
    count = len(context.zoned_answers)

    def logged():
        return [
            record
            for record in _logged(context, 'request_ended')
            if record.cause == reason
        ]

    context.site.wait_until(lambda: len(logged()) == count)
    assert {record.regions for record in logged()} == {regions}, logged()
    counters = platform_site.dump(context.site)['metrics']['counters']
    assert counters[f'gateway_refusals_total{{{reason}}}'] == count, counters


@behave.when('zoned target "{name}" answers the next request with "{fault}"')
def zoned_fault(context, name, fault):
    context.site.targets[name].faults.append(fault)


@behave.when(
    'each zoned target of "{zone}" answers the next request with "{fault}"'
)
def zoned_zone_fault(context, zone, fault):
    # One list, so that only the first of them has the fault.
    faults = [fault]
    for target in _in_zones(context, zone):
        target.faults = faults


@behave.when('zoned targets of "{zones}" are {state}')
def zoned_state(context, zones, state):
    for target in _in_zones(context, zones):
        if state == 'draining':
            context.site.drain(target.id)
        target.is_full = True
        target.faults += ['shed'] * 99 if state == 'shedding' else []
    known = context.site.gateway.targets.by_id
    context.site.wait_until(
        lambda: (
            state != 'draining'
            or all(known[t.id].is_leaving for t in _in_zones(context, zones))
        )
    )


@behave.when('a zoned caller opens a stream on route "{route}"')
def zoned_open(context, route):
    context.zoned_attempt = context.site.new_id()
    context.zoned_line = context.stack.enter_context(context.site.connection())
    context.zoned_opened_at = time.monotonic()
    context.site.send(
        context.zoned_line,
        route,
        attempt=context.zoned_attempt,
        deadline_ms=DEADLINE_MS,
    )


def _engine(context):
    """Return the engine that makes the stream's events."""

    def making():
        return [
            target
            for target in context.site.targets.values()
            if context.zoned_attempt in getattr(target, 'made', {})
        ]

    context.site.wait_until(making)
    return making()[0]


@behave.when('after {seconds:f} seconds zoned engine "{name}" has room')
def zoned_room(context, seconds, name):
    gevent.sleep(seconds)
    context.site.targets[name].is_full = False


@behave.when('after {seconds:f} seconds the zoned engine of the stream drains')
def zoned_drains(context, seconds):
    engine = _engine(context)
    gevent.sleep(seconds)
    context.site.drain(engine.id)


@behave.when('the zoned stream has begun')
def zoned_begun(context):
    _engine(context)


@behave.when('the zoned stream has been copied once')
def zoned_copied(context):
    engine = _engine(context)
    context.site.wait_until(lambda: engine.moves)


@behave.when(
    'after {seconds:f} seconds the zoned configuration allows regions '
    '"{regions}"'
)
def zoned_other_regions(context, seconds, regions):
    gevent.sleep(seconds)
    context.site.routes['stream']['allowed_regions'] = regions.split()
    context.site.publish()
    _published(context)


@behave.when(
    'after {seconds:f} seconds the zoned configuration drops route "{route}"'
)
def zoned_drop_route(context, seconds, route):
    gevent.sleep(seconds)
    del context.site.routes[route]
    context.site.publish()
    _published(context)


@behave.when('the zoned configuration is published once more')
def zoned_publish(context):
    context.site.publish()
    _published(context)


def _read_stream(context):
    context.zoned_answer = platform_site.read(context.zoned_line)
    context.zoned_answers = [context.zoned_answer]
    return context.zoned_answer


@behave.then('the zoned stream is whole')
def zoned_whole(context):
    answer = _read_stream(context)
    events = max(
        getattr(t, 'events', 0) for t in context.site.targets.values()
    )
    assert answer.status == 200, answer
    found = platform_site.numbers(answer.body)
    assert found == list(range(1, events + 1)), found
    assert answer.is_whole


@behave.then('the zoned stream is cut off before event {number:d}')
def zoned_cut(context, number):
    answer = _read_stream(context)
    found = platform_site.numbers(answer.body)
    assert found == list(range(1, number)), found
    assert not answer.is_whole


@behave.then('the zoned caller is refused with "{reason}"')
def zoned_stream_refused(context, reason):
    answer = _read_stream(context)
    context.zoned_waited = time.monotonic() - context.zoned_opened_at
    assert answer.status == 503, answer
    assert answer.body == reason.encode() + b'\n', answer


@behave.then(
    'the zoned caller is refused with "{reason}" within {seconds:g} seconds'
)
def zoned_stream_refused_soon(context, reason, seconds):
    zoned_stream_refused(context, reason)
    assert context.zoned_waited < seconds, context.zoned_waited


def _stop_calls(context):
    return [
        move
        for target in context.site.targets.values()
        for move in getattr(target, 'moves', ())
        if move.get('last')
    ]


def _engines_of_stream(context):
    return [
        target.id
        for target in context.site.targets.values()
        if context.zoned_attempt in target.runs
    ]


@behave.then('the zoned stream was not moved and ran on 1 engine')
def zoned_not_moved(context):
    moves = [getattr(t, 'moves', []) for t in context.site.targets.values()]
    assert not any(moves), moves
    assert len(_engines_of_stream(context)) == 1, _engines_of_stream(context)


@behave.then('the zoned stream ran on {count:d} engine and was not stopped')
@behave.then('the zoned stream ran on {count:d} engines and was not stopped')
def zoned_not_stopped(context, count):
    assert not _stop_calls(context), _stop_calls(context)
    found = _engines_of_stream(context)
    assert len(found) == count, found


@behave.then('the zoned stream ran in "{zone}" once and then in "{other}"')
def zoned_stream_ran_in(context, zone, other):
    found = _runs_by_zone(context, context.zoned_attempt)
    assert found == {zone: 1, other: 1}, found


@behave.when('zone "{zone}" is evacuated')
def zoned_evacuate(context, zone):
    context.site.store.put(f'op/evacuate/{zone}', {})
    # What is written later is read later.
    context.site.add_plain(
        f'marker-{context.site.store.revision}', service='marker', zone='none'
    )
    site = context.site
    site.wait_until(
        lambda: set(site.targets) <= set(site.gateway.targets.by_id)
    )
    assert zone in site.gateway.evacuations


@behave.when('after {seconds:f} seconds zone "{zone}" is evacuated')
def zoned_evacuate_later(context, seconds, zone):
    gevent.sleep(seconds)
    zoned_evacuate(context, zone)


@behave.when('the evacuation of zone "{zone}" is taken back')
def zoned_take_back(context, zone):
    context.site.store.delete(f'op/evacuate/{zone}')
    evacuations = context.site.gateway.evacuations
    context.site.wait_until(lambda: zone not in evacuations)


@behave.then('the zoned log has {count:d} events "{name}" of "{zone}"')
def zoned_log_of(context, count, name, zone):
    found = [r for r in _logged(context, name) if r.place == zone]
    assert len(found) == count, found
    assert all(record.revision > 0 for record in found)


@behave.then('the zoned log has {count:d} events "{name}"')
def zoned_log(context, count, name):
    found = _logged(context, name)
    assert len(found) == count, found


@behave.when(
    'zoned target "{name}" and "{other}" hold a request to route "{route}"'
)
def zoned_hold(context, name, other, route):
    site = context.site
    context.zoned_held = [site.targets[name], site.targets[other]]
    context.zoned_release = event.Event()
    for target in context.zoned_held:
        target.released = context.zoned_release
    context.zoned_held_attempt = site.new_id()
    context.zoned_task = gevent.spawn(
        site.ask, route, attempt=context.zoned_held_attempt
    )
    site.wait_until(lambda: any(t.waiting for t in context.zoned_held))


@behave.when('the zoned targets release what they hold')
def zoned_let_go(context):
    context.zoned_release.set()


@behave.then('the zoned caller of what was held got status {status:d}')
def zoned_held_status(context, status):
    answer = context.zoned_task.get(timeout=platform_site.WAIT_SECONDS)
    assert answer.status == status, answer


@behave.then('the zoned request ran in "{zone}" once and then in "{other}"')
def zoned_held_ran_in(context, zone, other):
    found = _runs_by_zone(context, context.zoned_held_attempt)
    assert found == {zone: 1, other: 1}, found


@behave.then('the zoned dump and gauge show evacuated zones "{zones}"')
def zoned_dump(context, zones):
    found = platform_site.dump(context.site)
    assert sorted(found['evacuated_zones']) == zones.split(), found
    gauge = found['metrics']['gauges']['gateway_evacuated_zones']
    assert gauge == len(zones.split()), gauge


@behave.when('zoned target "{name}" asks for silence of {seconds:d} seconds')
def zoned_silence(context, name, seconds):
    process = context.site.gateway
    signs = process.targets.by_id[name].signs
    signs.silent_until = process.clock.monotonic() + seconds


@behave.when(
    'the evacuation of "{zone}" is replaced by one of "{other}" while the '
    'store forgets its history'
)
def zoned_replaced(context, zone, other):
    site = context.site
    site.store.delete(f'op/evacuate/{zone}')
    site.store.put(f'op/evacuate/{other}', {})
    site.store.forget()
    known = site.gateway.evacuations
    site.wait_until(lambda: other in known and zone not in known)


@behave.given('two zoned gateways run that know each other')
def zoned_pair(context):
    context.zoned_pair = [g for g, *_ in context.site.start_two()]
    context.site.wait_until(lambda: _watchers(context) == 1)


def _watchers(context):
    sources = [g.directory_source for g in context.zoned_pair]
    return sources.count('directory')


def _wait_for_both(context, condition):
    with gevent.Timeout(EVACUATION_SECONDS):
        while not all(condition(g) for g in context.zoned_pair):
            gevent.sleep(0.01)


@behave.when('zone "{zone}" is evacuated at both zoned gateways')
def zoned_both(context, zone):
    context.site.store.put(f'op/evacuate/{zone}', {})
    _wait_for_both(context, lambda g: zone in g.evacuations)


@behave.when(
    'the evacuation of zone "{zone}" is taken back at both zoned gateways'
)
def zoned_both_back(context, zone):
    context.site.store.delete(f'op/evacuate/{zone}')
    _wait_for_both(context, lambda g: zone not in g.evacuations)


@behave.then('the zoned gateways still have one watcher')
def zoned_one_watcher(context):
    assert _watchers(context) == 1


@behave.when('the operator\'s key "{key}" is written with value {value}')
def zoned_key(context, key, value):
    context.site.store.put(key, value.encode())


@behave.then(
    'the zoned dump lists unusable regions "{of_route}" of route "{route}" '
    'and "{of_team}" of the team'
)
def zoned_unusable(context, of_route, route, of_team):
    found = platform_site.dump(context.site)['unusable_regions']
    expected = {
        'routes': {route: of_route.split()},
        'teams': {TEAM: of_team.split()},
    }
    assert found == expected, found


@behave.then('region_unknown was logged once for each of {count:d} versions')
def zoned_unknown_logged(context, count):
    found = [
        (record.version, record.kind, record.holder, record.regions)
        for record in _logged(context, 'region_unknown')
    ]
    expected = [
        line
        for version in range(1, count + 1)
        for line in (
            (version, 'routes', 'once', 'r-z'),
            (version, 'teams', TEAM, 'r-y'),
        )
    ]
    assert found == expected, found


@behave.when(
    'a zoned configuration is published with {regions} as regions of the '
    '{holder}'
)
def zoned_invalid(context, regions, holder):
    site = context.site
    configuration = site.configuration()
    holders = {
        'route': configuration['routes'][0],
        'team': configuration['tenants'][0],
    }
    holders[holder]['allowed_regions'] = json.loads(regions)
    configuration['version'] = 2
    site.store.put('op/config', configuration)
    # What is written later is read later.
    site.add_plain('marker', service='marker')
    site.wait_until(lambda: 'marker' in site.gateway.targets.by_id)


@behave.then('the zoned gateway keeps version {version:d}')
def zoned_version(context, version):
    assert context.site.gateway.configuration.version == version
    ignored = _logged(context, 'entry_ignored')
    assert [record.entry for record in ignored] == ['op/config'], ignored
