"""Steps for targets that send bytes which are no valid response."""

import time

import behave
import gevent
from gevent import event

from features.support import endless_server
from features.support import platform_server
from features.support import platform_site
from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import server_sent_events

# The balancer's health check counts as missed after this time.
HEALTH_CHECK_SECONDS = 1.0
HEALTH_CHECKS = 20
LONG_BODY_BYTE = b'x'


@behave.given(
    'a plain target "{name}" that sends {kind} until its connection closes'
)
def endless_target(context, name, kind):
    server = endless_server.EndlessServer(kind).serve(context.stack)
    context.endless = server
    context.endless_entry = {
        'service': 'endless',
        'address': f'127.0.0.1:{server.port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 4,
        'born': 1,
    }
    context.site.store.put(f'servers/{name}', context.endless_entry)


@behave.when('a caller sends a request to target "{name}" on route "{route}"')
def ask_endless(context, name, route):
    site = context.site
    site.wait_until(lambda: name in site.gateway.targets.by_id)
    site.routes[route]['service'] = 'endless'
    site.publish()
    site.wait_until(lambda: site.gateway.configuration.version == site.version)
    context.attempt = site.new_id()
    asked = gevent.spawn(site.ask, route, attempt=context.attempt)
    context.health_seconds = []
    for _ in range(HEALTH_CHECKS):
        start = time.monotonic()
        with site.connection(site.settings.readiness) as line:
            line.request('GET', '/v1/readyz')
            assert line.getresponse().status == 200
        context.health_seconds.append(time.monotonic() - start)
        gevent.sleep(0.02)
    context.answer = asked.get(timeout=endless_server.MAX_SECONDS)


@behave.then('the gateway answered its health check within a second meanwhile')
def health_checks(context):
    longest = max(context.health_seconds)
    assert longest < HEALTH_CHECK_SECONDS, context.health_seconds


@behave.then('target "{name}" saw its connection close')
def endless_closed(context, name):
    context.site.wait_until(lambda: context.endless.saw_close)


@behave.given('a server that sends {kind} until its connection closes')
def endless(context, kind):
    server = endless_server.EndlessServer(kind).serve(context.stack)
    context.server_address = address.Address('127.0.0.1', server.port)


@behave.then('the JSON call fails within {seconds:f} seconds with {code}')
def json_call_fails(context, seconds, code):
    assert context.call_error.code == code, context.call_error
    assert context.call_seconds < seconds, context.call_seconds


@behave.given('engines that offer no backups')
def no_backups(context):
    context.site.offers_backups = False


@behave.given('engines that repeat their earlier responses to calls')
def repeating_engines(context):
    engines = list(context.site.targets.values())
    for engine in engines:
        engine.repeats_calls = True
        engine.peers = engines


@behave.when(
    'callers open {count:d} streams on route "{route}" on engine "{name}"'
)
def open_streams(context, count, route, name):
    site = context.site
    others = [e for e in site.targets.values() if e.id != name]
    for engine in others:
        engine.is_full = True
    context.lines_by_attempt = {}
    for _ in range(count):
        attempt = site.new_id()
        line = context.stack.enter_context(site.connection())
        site.send(line, route, attempt=attempt)
        context.lines_by_attempt[attempt] = line
    engine = site.targets[name]
    site.wait_until(lambda: set(context.lines_by_attempt) <= set(engine.made))
    for engine in others:
        engine.is_full = False


@behave.when('engine "{name}" is listed as draining while they run')
def drain_engine(context, name):
    gevent.sleep(0.2)
    context.site.drain(name)


@behave.then(
    'each caller received events {first:d} to {last:d} once, in order and '
    'complete'
)
def whole_streams(context, first, last):
    for attempt, line in context.lines_by_attempt.items():
        answer = platform_site.read(line)
        found = platform_site.numbers(answer.body)
        assert found == list(range(first, last + 1)), (attempt, found)
        assert answer.is_whole, attempt


@behave.then('no engine continued a generation from the memory of another')
def not_mixed(context):
    mixed = [e.mixed for e in context.site.targets.values()]
    assert not any(mixed), mixed


@behave.then('no generation ran on two engines at once')
def not_overlapping(context):
    overlapping = [e.overlapping for e in context.site.targets.values()]
    assert not any(overlapping), overlapping


@behave.when(
    'the engine that gets the request will "{first}" and then "{second}"'
)
@behave.when('the engine that gets the request will "{first}" and then ""')
def next_engine_faults(context, first, second=''):
    shared = [fault for fault in (first, second) if fault]
    for engine in context.site.targets.values():
        engine.faults = shared


def _fail_once(owner, name):
    original = getattr(owner, name)

    def fail(*_, **__):
        setattr(owner, name, original)
        raise RuntimeError('an error that no code expects')

    setattr(owner, name, fail)


@behave.when('the choice of a target fails with an unexpected error once')
def choice_fails(context):
    _fail_once(context.site.gateway.placement, 'choose_plain_target')


@behave.when('the response of a target causes an unexpected error once')
def response_fails(context):
    _fail_once(context.site.gateway.platform, 'read_reply')


@behave.when(
    '{count:d} pieces of {size:d} bytes without the end of an event are split'
)
def split_pieces(context, count, size):
    splitter = server_sent_events.Splitter()
    piece = b'd' * size
    start = time.process_time()
    context.split_result = 'holds them'
    try:
        for _ in range(count):
            assert not splitter.feed(piece)
    except errors.BrokenReplyError:
        context.split_result = 'gives up'
    context.split_seconds = time.process_time() - start


@behave.then('the splitter {ends} within a second of processor time')
def split_ends(context, ends):
    assert context.split_result == ends, context.split_result
    assert context.split_seconds < HEALTH_CHECK_SECONDS, context.split_seconds


@behave.given('engines that {frames} their streams and offer no backups')
def stream_frames(context, frames):
    for engine in context.site.targets.values():
        engine.is_unframed = frames == 'do not frame'
    context.site.offers_backups = False


@behave.when('the target that gets the request will answer with "{fault}"')
def next_target_fault(context, fault):
    shared = [fault]
    for target in context.site.targets.values():
        target.faults = shared


@behave.then('nothing but its own events')
def only_own_events(context):
    lines = [line for line in context.stream_body.splitlines() if line]
    own = f'data: {context.attempt} '.encode()
    others = [x for x in lines if not x.startswith((b'id: ', own))]
    assert not others, others


@behave.given('callers may send long bodies')
def long_bodies(context):
    context.site.max_body_bytes = 2 * platform_server.LONG_BODY_BYTES


@behave.given(
    'target "{name}" answers a long request with "{fault}" before its body is '
    'read'
)
@behave.given(
    'target "{name}" answers a long request with "" before its body is read'
)
def early_answer(context, name, fault=''):
    context.site.targets[name].early_answers.append(fault)


@behave.when('a caller sends a long request to route "{route}"')
def ask_long(context, route):
    context.attempt = context.site.new_id()
    body = LONG_BODY_BYTE * platform_server.LONG_BODY_BYTES
    context.answer = context.site.ask(
        route, attempt=context.attempt, body=body
    )


@behave.when('{count:d} callers send a request to route "{route}" at once')
def ask_at_once(context, count, route):
    asked = [gevent.spawn(context.site.ask, route) for _ in range(count)]
    context.answers = [task.get() for task in asked]


@behave.then('no other bytes came where the rest of a long body was due')
def only_own_body(context):
    gevent.sleep(platform_server.LATE_READING_SECONDS + 0.2)
    for target in context.site.targets.values():
        others = bytes(target.late_bytes - set(LONG_BODY_BYTE))
        assert not others, others


@behave.given('engines that report backups of other ones only')
def reported_copies_of_others(context):
    for engine in context.site.targets.values():
        engine.reports_backups = True
        engine.copies = platform_server.DiscardingDict(
            {f'{engine.address}/another': 1000}
        )


@behave.given('engines that cannot move generations')
def no_moves(context):
    context.site.supports_moves = False


@behave.when('the other engines {state} from its first event on')
def other_engines(context, state):
    engines = context.site.targets.values()
    context.site.wait_until(lambda: any(e.made for e in engines))
    for engine in engines:
        if context.attempt in engine.made or state == 'are as before':
            continue
        if state == 'are full':
            engine.is_full = True
        elif state == 'reject it':
            engine.faults = ['shed'] * 20
        else:
            engine.released = event.Event()
