"""Steps for generations that go on at another engine."""

import json

import behave
import gevent

from features.support import platform_server
from features.support import platform_site
from kingcupfront_decisions import software_versions

# More than a gateway makes beyond its ratio of retries.
RETRIES_OF_AN_IDLE_GATEWAY = 4


class _MovedCopies(dict):
    """The copies of engines that keep those of migrations alone."""

    def __setitem__(self, name, created):
        if '/h-' in name:
            super().__setitem__(name, created)


@behave.given(
    'engines that report backups of other ones only, and copies that are moved'
)
def only_moved_copies(context):
    engines = list(context.site.targets.values())
    copies = _MovedCopies(
        {f'{engine.address}/another': 1000 for engine in engines}
    )
    for engine in engines:
        engine.reports_backups = True
        engine.copies = copies
        engine.peers = engines


@behave.then('no engine is counted as loaded')
def no_load(context):
    counted = {
        state.target.id: state.load.generations_by_id
        for state in context.site.gateway.targets.by_id.values()
        if state.load.generations_by_id
    }
    assert not counted, counted


@behave.given('engines whose streams fall silent after every {count:d} events')
def silent_streams(context, count):
    engines = list(context.site.targets.values())
    shared = [
        f'silent at {number}'
        for number in range(count + 1, engines[0].events + 1, count)
    ]
    for engine in engines:
        engine.faults = shared


@behave.when(
    'a caller with {seconds:d} seconds opens a stream on route "{route}"'
)
def patient_caller(context, seconds, route):
    context.attempt = context.site.new_id()
    context.line = context.stack.enter_context(context.site.connection())
    context.site.send(
        context.line,
        route,
        attempt=context.attempt,
        deadline_ms=1000 * seconds,
    )


@behave.then('the generation was sent {count:d} times')
def send_count(context, count):
    engines = context.site.targets.values()
    runs = [e.id for e in engines for run in e.runs if run == context.attempt]
    assert len(runs) == count, runs


def _engine_that_runs(context, leaving=()):
    def running():
        return [
            engine
            for engine in context.site.targets.values()
            if context.attempt in engine.made and engine.id not in leaving
        ]

    context.site.wait_until(running)
    return running()[0]


@behave.when('its engine turns away calls that stop a run')
def no_stop_calls(context):
    context.first_engine = _engine_that_runs(context)
    context.first_engine.on_stop_call = 'is turned away'


@behave.when('after {seconds:f} seconds the next engine is listed as draining')
def next_leaves(context, seconds):
    gevent.sleep(seconds)
    engine = _engine_that_runs(context, [context.first_engine.id])
    context.site.drain(engine.id)


@behave.then('no engine continued without the copy')
def all_from_copy(context):
    sent = [
        fields
        for engine in context.site.targets.values()
        for fields in engine.seen
        if fields.get('kingcupfront-attempt-id') == context.attempt
    ]
    without = [fields for fields in sent if 'kv-from' not in fields]
    assert len(without) == 1, sent


@behave.given('targets that take {seconds:f} seconds')
def slow_targets(context, seconds):
    for target in context.site.targets.values():
        target.seconds = seconds


@behave.when('the retries of service "{service}" are used up')
def no_retries(context, service):
    budget = context.site.gateway.retry_budget_for(service)
    now = context.site.gateway.clock.monotonic()
    for _ in range(RETRIES_OF_AN_IDLE_GATEWAY):
        budget.record_retry(now)


@behave.when('service "{service}" has had {count:d} requests')
def requests_counted(context, service, count):
    budget = context.site.gateway.retry_budget_for(service)
    now = context.site.gateway.clock.monotonic()
    for _ in range(count):
        budget.record_request(now)


@behave.then('the copy was asked for {count:d} times')
def copy_requests(context, count):
    asked = [
        fields['kv-from']
        for engine in context.site.targets.values()
        for fields in engine.seen
        if fields.get('kingcupfront-attempt-id') == context.attempt
        and 'kv-from' in fields
    ]
    assert len(asked) == count, asked


@behave.when('all targets ask for silence after a second')
def all_silent(context):
    gateway = context.site.gateway

    def silence():
        gevent.sleep(1.0)
        for state in gateway.targets.by_id.values():
            state.signs.silent_until = gateway.clock.monotonic() + 10

    context.silencing = gevent.spawn(silence)


@behave.given('engines that grant {leases}')
def granted_leases(context, leases):
    if leases == 'no leases':
        for service in context.site.services.values():
            if 'engine' in service:
                service['engine']['hold_ms'] = 0


@behave.given(
    'engine "{name}" of service "{service}" with software "{version}"'
)
def engine_with_software(context, name, service, version):
    site = context.site
    engine = platform_server.Engine(name, site.copies)
    engine.service = service
    engine.gap = 0.05
    site.services[service] = {**site.services['engine'], 'name': service}
    site._list(engine.serve(context.stack), version=version)


@behave.given('route "{name}" uses services "{first}" and "{second}"')
def route_services(context, name, first, second):
    context.site.routes[name] |= {
        'service': None,
        'backends': [{'service': first}, {'service': second}],
    }


@behave.given('the gateways have found one another')
def found_one_another(context):
    for gateway in context.gateways:
        known = gateway.origin_exchange._members
        now = gateway.clock.monotonic
        context.site.wait_until(
            lambda known=known, now=now: (
                len(known.known_in_own_zone(now())) == len(context.gateways)
            )
        )


@behave.when(
    'a caller receives {count:d} events on route "{route}" at the first '
    'gateway'
)
def receive_some(context, count, route):
    site = context.site
    context.attempt, context.route = site.new_id(), route
    context.count = count
    to = context.gateways[0].settings.callers
    with site.connection(to) as line:
        site.send(line, route, attempt=context.attempt)
        response, body = line.getresponse(), b''
        while len(platform_site.numbers(body)) < count:
            body += response.read1(65536)
    context.received = platform_site.numbers(body)


@behave.when('the first gateway has ended')
def first_ends(context):
    context.ends[0]()


@behave.when('it takes the stream up at the second gateway')
def take_up(context):
    to = context.gateways[1].settings.callers
    with context.site.connection(to) as line:
        context.answer = context.site.ask(
            context.route,
            line,
            headers={
                'Last-Event-Id': str(context.received[-1]),
                'Resumes': context.attempt,
            },
        )


@behave.then('it received events {first:d} to {last:d} from the same engine')
def same_engine(context, first, last):
    answer = context.answer
    assert answer.status == 200, answer
    numbers = context.received + platform_site.numbers(answer.body)
    assert numbers == list(range(1, last + 1)), numbers
    runs = [e.id for e in context.site.targets.values() if e.runs]
    assert len(runs) == 1, runs


@behave.given(
    'software "{first}" was gone at second {first_at:d} and one target of '
    '"{second}" at second {second_at:d} of a service with "{listed}"'
)
def gone_versions(context, first, first_at, second, second_at, listed):
    context.history = software_versions.History()
    context.history.add('engine', listed)
    for version, at in ((first, first_at), (second, second_at)):
        context.history.add('engine', version)
        context.history.remove('engine', version, at)


@behave.when(
    'the sole version of the last {window:d} seconds is asked for at second '
    '{now:d}'
)
def ask_sole(context, window, now):
    context.sole = context.history.sole_version(['engine'], now - window, now)


@behave.then('the sole version is {answer}')
def sole_answer(context, answer):
    expected = None if answer == 'unknown' else answer
    found = context.sole and context.sole.version
    assert found == expected, context.sole


@behave.when(
    'the other engines need {seconds:f} seconds until the head of a reply'
)
def late_heads(context, seconds):
    running = _engine_that_runs(context)
    for engine in context.site.targets.values():
        if engine is not running:
            engine.prefill = seconds


@behave.when('its engine answers {which} for its report')
def report_calls(context, which):
    context.first_engine = _engine_that_runs(context)
    context.first_engine.hangs_reports = which == 'no calls'


@behave.then('event {number:d} came from {writer}')
def event_writer(context, number, writer):
    writers = [
        engine
        for engine in context.site.targets.values()
        if number in engine.written.get(context.attempt, [])
    ]
    assert len(writers) == 1, writers
    is_same = writers[0] is context.first_engine
    assert is_same == (writer == 'the same one'), writers[0].id


@behave.when(
    'engine "{name}" is listed with a later start, other software and address'
)
def later_start(context, name):
    site = context.site
    context.earlier_start = site.targets[name]
    later = platform_server.Engine(name, site.copies)
    later.born = context.earlier_start.born + 1000
    site._list(later.serve(context.stack), version='v2')
    by_id = site.gateway.targets.by_id
    site.wait_until(lambda: by_id[name].target.born == later.born)


@behave.then('the earlier start of "{name}" executed {count:d} requests')
def earlier_runs(context, name, count):
    assert len(context.earlier_start.runs) == count, name


@behave.given('engines that need {seconds:f} seconds for an event')
def slow_events(context, seconds):
    for engine in context.site.targets.values():
        engine.gap = seconds


@behave.when('the other engines are fuller from its first event on')
def fuller_engines(context):
    running = _engine_that_runs(context)
    for engine in context.site.targets.values():
        if engine is not running:
            report = json.loads(engine.report()) | {
                'kv_used': 6000,
                'held': 6000,
            }
            engine.report = json.dumps(report).encode().strip


@behave.then('no backup was kept at an engine that it had left')
def later_backup(context):
    engines = context.site.targets.values()
    kept = [
        fields.get('kingcupfront-kv-backup')
        for engine in engines
        for fields in engine.seen
        if 'kv-from' in fields
    ]
    left = [e.address for e in engines if context.attempt in e.closed_early]
    assert len(left) == 1, left
    assert len(kept) == 1, kept
    assert kept[0] not in [None, *left], (kept, left)


@behave.when(
    'the destination asks for silence for {seconds:f} seconds when its run '
    'is {state}'
)
def destination_asks(context, seconds, state):
    gateway = context.site.gateway
    source = _engine_that_runs(context)

    def is_due():
        if state == 'stopped':
            return any(move.get('last') for move in source.moves)
        return bool(source.moves)

    def ask():
        context.site.wait_until(is_due)
        until = gateway.clock.monotonic() + seconds
        for known in gateway.targets.by_id.values():
            if known.target.id != source.id:
                known.signs.silent_until = until

    context.silencing = gevent.spawn(ask)


@behave.given('route "{name}" allows {count:d} attempts')
def route_attempts(context, name, count):
    context.site.routes[name]['max_attempts'] = count


@behave.given('engine "{name}" in another data centre of the region')
def engine_nearby(context, name):
    site = context.site
    site.regions_by_zone = site.regions_by_zone | {'zone-c': 'r-a'}
    site.add_engine(name, zone='zone-c')


def _evacuate(site, engine):
    site.store.put(f'op/evacuate/{engine.zone}', {})
    site.wait_until(lambda: engine.zone in site.gateway.evacuations)


def _forbid_region(site, _):
    site.routes['stream']['allowed_regions'] = ['r-b']
    site.publish()
    site.wait_until(lambda: site.gateway.configuration.version == site.version)


def _turn_away(_, engine):
    engine.faults = ['shed'] * 20


DESTINATION_CHANGES = {
    'is evacuated': _evacuate,
    'ends': lambda _, engine: engine.crash(),
    'turns all requests away': _turn_away,
    'is in a forbidden region': _forbid_region,
}


@behave.when('the destination {changes} when its run has been stopped')
def destination_changes(context, changes):
    site, source = context.site, _engine_that_runs(context)
    destination = next(e for e in site.targets.values() if e is not source)

    def change():
        site.wait_until(lambda: any(m.get('last') for m in source.moves))
        DESTINATION_CHANGES[changes](site, destination)

    context.changing = gevent.spawn(change)
