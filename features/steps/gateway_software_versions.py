"""Steps for targets of several software versions side by side."""

import dataclasses
import http.client
import math
import time

import behave
import gevent

from features.support import log_capture
from features.support import loopback
from features.support import platform_site
from kingcupfront_core import address
from kingcupfront_gateway import placement
from kingcupfront_gateway import reports

ROUTE = 'resume'
# Each version gets some of so many streams, also if engines are chosen at
# random: the chance that one of two gets none is 1 in 32,768.
CALLERS = 16
# What callers ask for on routes that allow no more.
LEAST_DEADLINE_MS = 4000
GAP_SECONDS = 0.02
EVENTS = 40
# After how many events callers lose their streams.
SEEN_EVENTS = 3
# Longer than one round in which gateways hear of one another.
JOIN_SECONDS = 1.5
# Records reach their holders within this time.
RECORD_SECONDS = 0.5
# What one stream takes of an engine: its prompt and its expected output.
STREAM_TOKENS = 1200
# The longest time for a refusal that waits for nothing but other gateways.
REFUSAL_SECONDS = 1.0
# Callers abandon a stream after this time without an event.
ABANDON_SECONDS = 2.0
# What entries may say in place of a version.
ODD_VERSIONS = {'number': 7, 'empty': '', 'list': ['v1'], 'null': None}


@dataclasses.dataclass
class Stream:
    """A stream as its caller sees it, over all tries.

    :param numbers: the numbers of the events that arrived.
    :param attempts: the ids of the tries; the first event came by the first.
    """

    numbers: list = dataclasses.field(default_factory=list)
    attempts: list = dataclasses.field(default_factory=list)
    answers: list = dataclasses.field(default_factory=list)
    seconds: float = 0.0


def _add(context, names, *, is_listed=True, **more):
    """Start engines such as ``a1@v1``, or ``a1@number`` with an odd entry.

    :param is_listed: whether their entries are written.
    """
    for text in names.split():
        name, _, version = text.partition('@')
        entry = {}
        if version in ODD_VERSIONS:
            entry['version'] = ODD_VERSIONS[version]
        engine = context.site.add_engine(
            name, entry=entry, is_listed=is_listed, **more
        )
        # An engine whose version nobody knows may be of any: of its own.
        engine.version = name if version in ODD_VERSIONS else version
        if is_listed and not entry:
            context.site.store.put(f'servers/{name}', engine.entry())
        engine.events, engine.gap = EVENTS, GAP_SECONDS
        context.engines.append(engine)


@behave.given('a versioned site with engines "{names}"')
def versioned_site(context, names):
    context.site = platform_site.Site(context.stack)
    # Enough for every stream to break.
    context.site.retry_ratio = 2.0
    context.records = context.stack.enter_context(log_capture.capturing())
    # Also those that have ended.
    context.engines, context.streams = [], []
    _add(context, names)


@behave.given('versioned engines that keep no backups')
def versioned_no_copies(context):
    context.site.offers_backups = False


@behave.given('versioned engines have room for backups of all streams')
def versioned_room(context):
    # Even if all streams are of one version, so that each of its two engines
    # holds all of them, as generations or as backups.
    needed = CALLERS * STREAM_TOKENS / placement.MAX_COPY_MEMORY_FRACTION
    context.site.services['engine']['engine']['kv_capacity'] = math.ceil(
        needed
    )


@behave.given('versioned route "{route}" is public')
def versioned_public(context, route):
    # Keys are not trusted for long while the store is away.
    context.site.routes[route]['public'] = True


@behave.given('versioned route "{route}" has a timeout of {milliseconds:d} ms')
def versioned_timeout(context, route, milliseconds):
    context.site.routes[route]['timeout_ms'] = milliseconds


@behave.given('{count:d} versioned gateways run in "{zones}"')
def versioned_gateways(context, count, zones):
    zones = tuple(zones.split())
    context.gateways = context.site.start_several(count, zones)
    gateways = [running for running, *_ in context.gateways]
    context.site.wait_until(
        lambda: (
            [g.directory_source for g in gateways].count('directory')
            == len(zones)
        )
    )
    gevent.sleep(JOIN_SECONDS)
    _wait_until_known(context)


@behave.given('{count:d} versioned gateways run in "{zone}" and do not meet')
def versioned_strangers(context, count, zone):
    dead = address.Address(loopback.new_host(), platform_site.PORT)
    context.gateways = context.site.start_several(
        count, (zone,), seeds=(dead,)
    )
    _wait_until_known(context)


@behave.given(
    '{count:d} versioned gateways run in "{zone}" and know one another'
)
def versioned_acquainted(context, count, zone):
    versioned_gateways(context, count, zone)


@behave.when('versioned gateway {number:d} is cut off from the store')
def versioned_cut_off(context, number):
    _, path, _ = context.gateways[number - 1]
    path.there.silence()
    path.back.silence()


@behave.when('versioned engines "{names}" are added for gateway {number:d}')
def versioned_add_for(context, names, number):
    _add(context, names)
    known = context.gateways[number - 1][0].targets.by_id
    context.site.wait_until(lambda: set(context.site.targets) <= set(known))


@behave.then('no versioned stream holds events of two versions')
def versioned_unmixed(context):
    _check_unmixed(context)
    assert context.streams


def _wait_until_known(context):
    """Wait until all gateways have the listed targets."""
    listed = {
        (engine.id, engine.born) for engine in context.site.targets.values()
    }
    context.site.wait_until(
        lambda: all(
            listed
            == {(s.target.id, s.target.born) for s in g.targets.by_id.values()}
            for g, *_ in context.gateways
        )
    )


def _gateway(context, number):
    running, *_ = context.gateways[number - 1]
    return running.settings.callers


def _in_parallel(run, streams):
    tasks = [gevent.spawn(run, stream) for stream in streams]
    gevent.joinall(tasks, raise_error=True)


def _send(context, line, stream, headers, route=ROUTE):
    attempt = context.site.new_id().ljust(
        getattr(context, 'id_characters', 0), 'x'
    )
    stream.attempts.append(attempt)
    timeout = context.site.routes[route]['timeout_ms']
    context.site.send(
        line,
        route,
        attempt=attempt,
        headers=headers,
        deadline_ms=max(timeout, LEAST_DEADLINE_MS),
    )


def _read_part(line, stream):
    """Read a stream until some more events have come, and break it."""
    response = line.getresponse()
    body = b''
    while body.count(b'\n\n') < SEEN_EVENTS:
        data = response.read1(65536)
        if not data:
            break
        body += data
    stream.answers.append(
        platform_site.Answer(response.status, {}, body, False)
    )
    _note_numbers(stream, body)
    response.close()


def _note_numbers(stream, body):
    """Note the events that came whole."""
    whole = body.rpartition(b'\n\n')[0]
    stream.numbers += platform_site.numbers(whole)


def _read_whole(line, stream):
    answer = platform_site.read(line)
    stream.answers.append(answer)
    if answer.status == http.client.OK:
        _note_numbers(stream, answer.body)


@behave.when('versioned callers open streams at gateway {number:d}')
def versioned_open(context, number):
    versioned_open_on(context, ROUTE, number)


@behave.when(
    'versioned callers open streams on route "{route}" at gateway {number:d}'
)
def versioned_open_on(context, route, number):
    _open(context, route, number, {})


@behave.when(
    'versioned callers open streams at gateway {number:d} with no place'
)
def versioned_open_without_place(context, number):
    _open(context, ROUTE, number, {'Last-Event-Id': ''})


def _open(context, route, number, headers):
    def run(stream):
        with context.site.connection(_gateway(context, number)) as line:
            _send(context, line, stream, headers, route)
            _read_whole(line, stream)

    context.streams = [Stream() for _ in range(CALLERS)]
    context.tasks = [gevent.spawn(run, stream) for stream in context.streams]


@behave.when('versioned callers begin streams at gateway {number:d}')
def versioned_begin(context, number):
    def run(stream):
        with context.site.connection(_gateway(context, number)) as line:
            _send(context, line, stream, {})
            _read_part(line, stream)

    context.streams = [Stream() for _ in range(CALLERS)]
    _in_parallel(run, context.streams)
    gevent.sleep(RECORD_SECONDS)
    for stream in context.streams:
        assert stream.numbers, stream


def _resumption(stream, names):
    headers = {'Last-Event-Id': str(stream.numbers[-1])}
    if names == 'its id':
        headers['Resumes'] = stream.attempts[0]
    elif names == 'an unknown id':
        headers['Resumes'] = f'unknown-{stream.attempts[0]}'
    elif names == 'a very long id':
        headers['Resumes'] = stream.attempts[0] + 'x' * 300
    elif names == 'an empty id':
        headers['Resumes'] = ''
    elif names == 'a control character':
        headers['Resumes'] = stream.attempts[0] + '\x01'
    elif names in ('two ids', 'its id twice'):
        # Names of fields are the same in any case.
        is_same = names == 'its id twice'
        headers['resumes'] = stream.attempts[0] if is_same else 'another'
        headers['Resumes'] = stream.attempts[0]
    return headers


def _take_up(context, number, names, read):
    _take_up_with(
        context, number, lambda stream: _resumption(stream, names), read
    )


def _take_up_with(context, number, headers_of, read):
    def run(stream):
        start = time.monotonic()
        with context.site.connection(_gateway(context, number)) as line:
            _send(context, line, stream, headers_of(stream))
            read(line, stream)
        stream.seconds = time.monotonic() - start

    _in_parallel(run, context.streams)


@behave.given('versioned callers use ids of {count:d} characters')
def long_ids(context, count):
    context.id_characters = count


@behave.then(
    'no gateway keeps the id of a stream of more than {count:d} characters'
)
def short_names(context, count):
    for running, *_ in context.gateways:
        for name in running.stream_origins.since(float('-inf')):
            assert len(name) <= count, name


@behave.when('they take their streams up at gateway {number:d} with {names}')
def versioned_take_up(context, number, names):
    _take_up(context, number, names, _read_whole)


@behave.when(
    'they take their streams up at gateway {number:d} after "{place}"'
)
def versioned_take_up_after(context, number, place):
    def headers_of(stream):
        first, _, second = place.partition(' and ')
        places = {'Last-Event-Id': first}
        if second:
            places['last-event-id'] = second
        return places | {'Resumes': stream.attempts[0]}

    _take_up_with(context, number, headers_of, _read_whole)


@behave.when(
    'they take their streams up at gateway {number:d} and lose them again'
)
def versioned_take_up_in_part(context, number):
    _take_up(context, number, 'its id', _read_part)


def _wait_for_engine(context):
    """Return the engine of the first stream, after some of its events."""
    attempts = [stream.attempts for stream in context.streams[:1]]

    def engines():
        return [
            engine
            for engine in context.engines
            for tries in attempts
            if tries and engine.made.get(tries[0], 0) > SEEN_EVENTS
        ]

    context.site.wait_until(engines)
    (context.left,) = engines()
    return context.left


@behave.when('the versioned engine of the first stream breaks')
def versioned_break(context):
    _wait_for_engine(context).crash()


@behave.given('the first try of each versioned stream will "{fault}"')
def versioned_faults(context, fault):
    # With a list of faults for the next requests, a second try may get the
    # fault of a stream that begins after it.
    tried = set()
    for engine in context.engines:
        engine.first_try_fault, engine.tried = fault, tried


@behave.given('the first versioned engine that gets a request will "{fault}"')
def versioned_first_fault(context, fault):
    shared = [fault]
    for engine in context.site.targets.values():
        engine.faults = shared


@behave.given('each versioned engine {stops} when a run is moved')
def versioned_stop_call(context, stops):
    for engine in context.engines:
        engine.on_stop_call = stops


@behave.given('versioned engines make {count:d} events')
def versioned_events(context, count):
    for engine in context.site.targets.values():
        engine.events = count


@behave.when('the versioned engine of the first stream leaves')
def versioned_leave(context):
    context.site.drain(_wait_for_engine(context).id)


@behave.when('versioned engines "{names}" are added')
def versioned_add(context, names):
    _add(context, names)
    _wait_until_known(context)


@behave.when('versioned engines "{names}" are gone')
def versioned_gone(context, names):
    for name in names.split():
        engine = context.site.targets.pop(name)
        engine.crash()
        context.site.store.delete(f'servers/{name}')
    _wait_until_known(context)


@behave.when('versioned engine "{name}" starts again as "{text}"')
def versioned_start_again(context, name, text):
    """Start an engine at the address of one that has ended."""
    again, _, _ = text.partition('@')
    if again != name:
        context.site.store.delete(f'servers/{name}')
    _start_again(context, name, text)
    _wait_until_known(context)


def _start_again(context, name, text, **more):
    engine = context.site.targets.pop(name)
    engine.crash()
    # A start is told from an earlier one by its time in milliseconds.
    gevent.sleep(0.01)
    port = int(engine.address.rpartition(':')[2])
    _add(context, text, port=port, **more)
    context.engines[-1].events = engine.events


@behave.when(
    'versioned engine "{name}" starts again as "{text}" before its entry says '
    'so'
)
def versioned_start_unlisted(context, name, text):
    """Start an engine again right after its reports have been read."""
    for running, *_ in context.gateways:
        reports.refresh(running, list(running.targets.by_id.values()), 0.0)
    _start_again(context, name, text, is_listed=False)


@behave.when('versioned engine "{name}" reports {what}')
def versioned_reports(context, name, what):
    engine = context.site.targets[name]
    engine.hangs_reports = what == 'nothing'
    engine.reports_born = what != 'no start'


@behave.when('versioned engine "{name}" leaves')
def versioned_leave_named(context, name):
    context.left = context.site.targets[name]
    context.site.drain(name)


@behave.when('versioned engine "{name}" breaks')
def versioned_break_named(context, name):
    context.left = context.site.targets[name]
    context.left.crash()


@behave.when(
    'the entries of versioned engines "{names}" change to "{version}"'
)
def versioned_entries(context, names, version):
    for name in names.split():
        engine = context.site.targets[name]
        context.site.store.put(
            f'servers/{name}', engine.entry(version=version, sequence=6)
        )
        # Nobody knows which of the two it is.
        engine.version = name
    # Changes are read in order: once this one is known, so are those before.
    context.site.add_plain('marker', service='marker')
    _wait_until_known(context)


@behave.when('versioned gateway {number:d} ends')
def versioned_end(context, number):
    context.gateways[number - 1][2]()


@behave.when('versioned gateway {number:d} starts again')
def versioned_restart(context, number):
    running, path, end = context.gateways[number - 1]
    end()
    again = context.site.start_again(running.settings)
    context.gateways[number - 1] = (again, path, None)
    context.site.wait_until(lambda: again.is_ready)
    _wait_until_known(context)


@behave.given('the store is away from all versioned gateways')
@behave.when('the store is away from all versioned gateways')
def versioned_store_away(context):
    context.site.store.fault = 'silent'
    # Longer than a view of the directory counts as recent.
    gevent.sleep(3.2)


@behave.given('{seconds:g} seconds pass at the versioned site')
@behave.when('{seconds:g} seconds pass at the versioned site')
def versioned_pass(context, seconds):
    gevent.sleep(seconds)


def _writers(context, stream):
    """Return the engines that wrote events of a stream."""
    return [
        engine
        for engine in context.engines
        if any(engine.written.get(a) for a in stream.attempts)
    ]


def _check_unmixed(context):
    for stream in context.streams:
        found = {(e.id, e.version) for e in _writers(context, stream)}
        versions = {version for _, version in found}
        assert len(versions) <= 1, (stream, found)


def _finish(context):
    gevent.joinall(context.tasks, raise_error=True)


@behave.then('each versioned stream went on at the version that began it')
def versioned_went_on(context):
    for stream in context.streams:
        assert stream.answers[-1].status == http.client.OK, stream
        assert stream.answers[-1].is_whole, stream
        expected = list(range(1, EVENTS + 1))
        assert stream.numbers == expected, stream
    _check_unmixed(context)


@behave.then(
    'each versioned answer has events 1 to {count:d} from {writers} of one '
    'version'
)
def versioned_whole(context, count, writers):
    _finish(context)
    for stream in context.streams:
        assert stream.numbers == list(range(1, count + 1)), stream
        assert stream.answers[-1].is_whole, stream
    _check_unmixed(context)
    if writers == 'several engines':
        counts = [len(_writers(context, s)) for s in context.streams]
        assert max(counts) > 1, counts


@behave.then('each versioned stream of that engine is {end:w}, of one version')
def versioned_ended(context, end):
    _finish(context)
    began = [
        stream
        for stream in context.streams
        if context.left in _writers(context, stream)
    ]
    assert began
    for stream in began:
        assert stream.answers[-1].status == http.client.OK, stream
        assert stream.answers[-1].is_whole == (end == 'whole'), stream
    _check_unmixed(context)


@behave.then('a versioned stream was moved away from that engine')
def versioned_moved(context):
    moves = context.left.moves
    assert any(move.get('last') for move in moves), moves


@behave.then('versioned streams of at least {count:d} versions began')
def versioned_count(context, count):
    found = {e.version for s in context.streams for e in _writers(context, s)}
    assert len(found) >= count, found


@behave.then('one versioned stream was run by engines of two versions')
def versioned_run_by_two(context):
    found = [
        {e.version for e in context.engines if s.attempts[0] in e.runs}
        for s in context.streams
    ]
    assert sorted(map(len, found))[-1] == 2, found


@behave.then('each versioned caller is refused at once with "{reason}"')
def versioned_refused_with(context, reason):
    versioned_refused(context)
    _check_reason(context, reason)


@behave.then('each versioned caller is refused in time with "{reason}"')
def versioned_refused_in_time(context, reason):
    """Check refusals that wait for an engine."""
    _check_refused(context, ABANDON_SECONDS)
    _check_reason(context, reason)


def _check_reason(context, reason):
    bodies = {stream.answers[-1].body for stream in context.streams}
    assert bodies == {reason.encode() + b'\n'}, bodies


@behave.then('each versioned caller is refused at once')
def versioned_refused(context):
    _check_refused(context, REFUSAL_SECONDS)


@behave.then(
    'each versioned caller is told of a bad request, which is not run'
)
def versioned_bad_request(context):
    _check_refused(context, REFUSAL_SECONDS, http.client.BAD_REQUEST)


def _check_refused(context, seconds, status=http.client.SERVICE_UNAVAILABLE):
    _check_unmixed(context)
    for stream in context.streams:
        answer = stream.answers[-1]
        assert answer.status == status, stream
        runs = [e.id for e in context.engines if stream.attempts[-1] in e.runs]
        assert not runs, (stream, runs)
        assert stream.seconds < seconds, stream
