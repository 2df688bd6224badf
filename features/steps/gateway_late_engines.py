"""Steps for engines that read, report, refuse or begin late, or hang."""

import time

import behave
import gevent

from features.support import platform_server
from features.support import platform_site


def _other_engines(context):
    return [
        engine
        for engine in context.site.targets.values()
        if engine is not context.first_engine
    ]


def _first(context):
    def running():
        return [
            engine
            for engine in context.site.targets.values()
            if context.attempt in engine.made or context.attempt in engine.runs
        ]

    context.site.wait_until(running)
    return running()[0]


@behave.when(
    'a caller with {seconds:d} seconds sends a {size} body on route "{route}"'
)
def send_body(context, seconds, size, route):
    length = platform_server.LONG_BODY_BYTES if size == 'long' else 100
    site = context.site
    context.attempt = site.new_id()
    context.line = context.stack.enter_context(site.connection())
    site.send(
        context.line,
        route,
        attempt=context.attempt,
        body=b'x' * length,
        deadline_ms=1000 * seconds,
    )
    context.first_engine = _first(context)


@behave.when('the other engines read long bodies {seconds:f} seconds late')
def late_readers(context, seconds):
    def wait(sock, wire, head):
        length = dict(head.headers).get(b'content-length', b'0')
        if int(length) >= platform_server.LONG_BODY_BYTES:
            gevent.sleep(seconds)

    for engine in _other_engines(context):
        engine._answer_early = wait


@behave.when('the engine that runs it is silent for {seconds:f} seconds')
def long_pause(context, seconds):
    """Pause before an event, at work all the time."""
    context.first_engine = engine = _first(context)
    original = engine._event
    context.works_until = float('inf')

    def event(sock, wire, attempt, number):
        if number == 9:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                gevent.sleep(0.01)
                if platform_server.is_closed(sock):
                    context.works_until = time.monotonic()
                    raise OSError('closed by the gateway')
        original(sock, wire, attempt, number)
        if number == engine.events:
            context.works_until = time.monotonic()

    engine._event = event


@behave.when('it answers calls for its report {how}')
def report_answers(context, how):
    engine = context.first_engine
    if how == 'after a silence':
        state = context.site.gateway.targets.by_id[engine.id]
        now = context.site.gateway.clock.monotonic()
        state.signs.silent_until = now + 10
    if how.startswith('after 0'):
        seconds = float(how.split()[1])
        report = engine.report

        def slow():
            gevent.sleep(seconds)
            return report()

        engine.report = slow
    if how.startswith('with 503'):
        send = engine._send

        def refuse(sock, wire, status, headers, body):
            if body.startswith(b'{"active"'):
                status, body = 503, b''
            return send(sock, wire, status, headers, body)

        engine._send = refuse


@behave.when('the other engines note how long they work on it')
def note_spans(context):
    context.spans = []

    def watched(engine):
        original = engine._stream

        def stream(sock, *more):
            span = [time.monotonic(), float('inf')]
            context.spans.append(span)

            def watch():
                while True:
                    gevent.sleep(0.01)
                    try:
                        if platform_server.is_closed(sock):
                            break
                    except OSError:
                        break
                span[1] = time.monotonic()

            watcher = gevent.spawn(watch)
            context.watchers = [*getattr(context, 'watchers', []), watcher]
            return original(sock, *more)

        return stream

    for engine in _other_engines(context):
        engine._stream = watched(engine)


@behave.when('the caller has read its response')
def read_response(context):
    started = time.monotonic()
    context.answer = platform_site.read(context.line)
    context.waited = time.monotonic() - started
    gevent.sleep(0.2)


@behave.then('events 1 to {last:d} came once, in order and complete')
def all_came(context, last):
    answer = context.answer
    found = platform_site.numbers(answer.body)
    assert answer.status == 200, (answer.status, answer.body[:80])
    assert found == list(range(1, last + 1)) and answer.is_whole, (
        found,
        answer.is_whole,
        context.waited,
    )


@behave.then('no two engines worked on it for over {bound:f} seconds')
def no_overlap(context, bound):
    closed = context.first_engine.closed_early
    overlaps = [
        round(min(end, context.works_until) - begun, 3)
        for begun, end in context.spans
    ]
    assert overlaps, 'no takeover'
    assert all(o <= bound for o in overlaps), (overlaps, closed)


@behave.when('the engine of its backup takes {seconds:f} seconds for a head')
def slow_backup(context, seconds):
    keepers = {name.partition('/')[0] for name in context.site.copies}
    slow = [e for e in _other_engines(context) if e.address in keepers]
    assert len(slow) == 1, context.site.copies
    slow[0].prefill = seconds


@behave.when('the engine of its backup takes {seconds:f} seconds to take over')
def slow_takeover(context, seconds):
    """Delay what goes on from its backup, not from a copy that is moved."""
    keepers = {name.partition('/')[0] for name in context.site.copies}
    [keeper] = [e for e in _other_engines(context) if e.address in keepers]
    original = keeper.serve_request

    def serve_request(sock, wire, fields):
        copy = fields.get('kv-from', '')
        keeper.prefill = seconds if copy.startswith(keeper.address) else 0.0
        return original(sock, wire, fields)

    keeper.serve_request = serve_request


@behave.given('route "{name}" allows {count:d} runs')
def more_runs(context, name, count):
    context.site.routes[name]['max_attempts'] = count


@behave.when('after {seconds:f} seconds engine of the run is told to leave')
def leave_later(context, seconds):
    gevent.sleep(seconds)
    context.site.drain(context.first_engine.id)


@behave.when('after {seconds:f} seconds the backup is kept')
def backup_kept(context, seconds):
    gevent.sleep(seconds)


@behave.when('the other engines refuse it after {seconds:f} seconds')
def late_refusal(context, seconds):
    for engine in _other_engines(context):
        original = engine.serve_request

        def refuse(sock, wire, fields, engine=engine, original=original):
            if fields['path'].startswith('/v1/'):
                return original(sock, wire, fields)
            gevent.sleep(seconds)
            own = {
                'Kingcupfront-Attempt-Id': fields['kingcupfront-attempt-id'],
                'Kingcupfront-Not-Executed': '1',
            }
            return engine._send(sock, wire, 503, own, b'')

        engine.serve_request = refuse


@behave.when('a caller sends a request that a slow target gets on "{route}"')
def slow_target_gets(context, route):
    site = context.site
    context.attempt = site.new_id()
    context.line = context.stack.enter_context(site.connection())
    site.send(context.line, route, attempt=context.attempt)
    site.wait_until(lambda: any(t.runs for t in site.targets.values()))
    context.first_engine = next(t for t in site.targets.values() if t.runs)


@behave.when('the other targets {refuse} requests')
def others_refuse(context, refuse):
    kind = {'refuse': 'shed', 'never answer': 'silent'}[refuse]
    for target in _other_engines(context):
        target.faults = [kind] * 50
        if kind == 'silent':
            target.seconds = 0


@behave.then('the caller got status {status:d} with a whole answer')
def got_status(context, status):
    answer = context.answer
    assert (answer.status, answer.is_whole) == (status, True), (
        answer,
        context.waited,
        [(t.id, t.runs, len(t.seen)) for t in context.site.targets.values()],
    )


@behave.when('engines will "{first}" and then "{rest}" at all later sends')
def engine_faults(context, first, rest):
    shared = [first, *[rest] * 50]
    for engine in context.site.targets.values():
        engine.faults = shared


@behave.when('the caller leaves after {seconds:f} seconds')
def caller_leaves(context, seconds):
    gevent.sleep(seconds)
    context.left_at = time.monotonic()
    context.line.close()
    gevent.sleep(0.6)


@behave.then('no engine worked on it for over {bound:f} seconds more')
def none_at_work(context, bound):
    ends = [end for _, end in context.spans] + [context.works_until]
    late = [end - context.left_at for end in ends]
    assert context.spans and max(late) <= bound, late


@behave.when('no retries are left')
def no_retries(context):
    gateway = context.site.gateway
    for _ in range(20):
        gateway.retry_budget_for('engine').record_retry(
            gateway.clock.monotonic()
        )
