"""Steps for a gateway on stand-ins for the platform's services."""

import json
import socket
import time

import behave
import gevent

from features.support import log_capture
from features.support import platform_server
from features.support import platform_site
from kingcupfront_gateway import targets

FORGED_ENTRIES = {
    'is no JSON': b'\xff\x00 nothing',
    'has no address': {'service': 'plain', 'zone': 'z', 'state': 'ready'},
    'has a number as its service': {'service': 7},
    'has a state of its own': {'state': 'asleep'},
    'has an address without port': {'address': '10.0.0.1'},
    'is of an unknown service': {'service': 'nobody'},
    'is nested 50000 deep': b'{"service":' + b'[' * 50000,
    'has a valid field nested 5000 deep': b'{"service":"plain","x":'
    + b'[' * 5000
    + b']' * 5000
    + b',"address":"127.0.0.1:1","zone":"z","version":"v1","slots":6,'
    b'"state":"ready","warmup_left_ms":0,"sequence":4,"born":1}',
    'has a start of 400 digits': {'born': 10**400},
    'has a start of 5000 digits': b'{"service":"plain","zone":"z",'
    b'"version":"v1","slots":6,"warmup_left_ms":0,"sequence":4,'
    b'"address":"127.0.0.1:1","state":"ready","born":' + b'9' * 5000 + b'}',
    'has a negative start': {'born': -1},
    'has 400 digits of slots': {'slots': 10**400},
    'has no slots': {'slots': 0},
    'has an infinite warm-up': {'warmup_left_ms': float('inf')},
    'has port 70000': {'address': '10.0.0.1:70000'},
    'has port 0': {'address': '10.0.0.1:0'},
    'has a port of 400 digits': {'address': f'10.0.0.1:{"9" * 400}'},
    'has a name as its address': {'address': 'nowhere.example:80'},
    'has a null byte in its address': {'address': '10.0.0.1\x00:80'},
}
RAW_HEAD = (
    f'POST /once/2f HTTP/1.1\r\nHost: {platform_site.HOST}\r\n'
    f'Authorization: Token {platform_site.KEY}\r\n'
)
ID_HEADER = 'Kingcupfront-Attempt-Id: raw-1\r\n'
RAW_REQUESTS = {
    'no http': '\x00\x01 nothing\r\n\r\n',
    'two lengths': RAW_HEAD
    + ID_HEADER
    + 'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
    'a length and another coding': RAW_HEAD
    + ID_HEADER
    + 'Content-Length: 5\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    'a header of 9000 bytes': RAW_HEAD
    + ID_HEADER
    + 'A: '
    + 'x' * 9000
    + '\r\n\r\n',
    'a body over the limit': RAW_HEAD
    + ID_HEADER
    + 'Content-Length: 200000\r\n\r\n'
    + 'x' * 200000,
    'no attempt id': RAW_HEAD + 'Content-Length: 0\r\n\r\n',
    'half a header': RAW_HEAD,
    'a deadline of 900 digits': RAW_HEAD
    + ID_HEADER
    + f'Content-Length: 0\r\nKingcupfront-Deadline-Ms: {"9" * 900}\r\n\r\n',
}


@behave.given('a site with plain targets "{names}"')
def plain_site(context, names):
    context.site = platform_site.Site(context.stack)
    for name in names.split(','):
        context.site.add_plain(name)


@behave.given('a site with engines "{names}"')
def engine_site(context, names):
    context.site = platform_site.Site(context.stack)
    for name in names.split(','):
        context.site.add_engine(name)


@behave.given('engines that produce {count:d} events')
def event_count(context, count):
    for engine in context.site.targets.values():
        engine.events = count


@behave.given('engines that report the backups that they keep')
def reported_copies(context):
    for engine in context.site.targets.values():
        engine.reports_backups = True


@behave.given('engines that keep no backups')
def no_copies(context):
    for engine in context.site.targets.values():
        engine.copies = platform_server.DiscardingDict()


@behave.given('route "{name}" has a timeout of {milliseconds:d} ms')
def route_timeout(context, name, milliseconds):
    context.site.routes[name]['timeout_ms'] = milliseconds


@behave.given('revoked keys must stop working within {seconds:f} seconds')
def revocation(context, seconds):
    context.revocation = seconds


@behave.given('the gateway runs')
def gateway_runs(context):
    context.site.start(revocation=getattr(context, 'revocation', 5.0))
    gateway = context.site.gateway
    context.site.wait_until(
        lambda: set(context.site.targets) <= set(gateway.targets.by_id)
    )


@behave.given('the store has been reachable for a while')
def store_reachable(context):
    gevent.sleep(targets.STABLE_CONTACT_SECONDS + 0.2)


@behave.given('the gateway runs without a configuration')
def gateway_without(context):
    site = context.site
    site.publish = lambda version=None: None
    site.wait_until = lambda condition: gevent.sleep(0.3)
    site.start()


@behave.given('the store holds an entry that {kind}')
def forged_entry(context, kind):
    forged = FORGED_ENTRIES[kind]
    if isinstance(forged, dict):
        good = context.site.targets['a'].entry()
        forged = {**good, **forged}
        if kind == 'has no address':
            del forged['address']
    context.site.store.put('servers/forged', forged)


ODD_KEYS = {
    'has a key with a line break': 'servers/odd\r\nX: y',
    'has a key of 5000 characters': f'servers/{"k" * 5000}',
    'has a key outside of ASCII': 'servers/\u00fc\U0001f600',
}


@behave.when('another writer adds an entry that {kind}')
def odd_entry(context, kind):
    odd = FORGED_ENTRIES.get(kind, {})
    if isinstance(odd, dict):
        odd = {**context.site.targets['a'].entry(), **odd}
    context.site.store.put(ODD_KEYS.get(kind, 'servers/odd'), odd)


@behave.when('target "{name}" is listed after it')
def listed_after(context, name):
    context.site.add_plain(name)


@behave.then('the gateway learns of target "{name}"')
def learns_of(context, name):
    known = context.site.gateway.targets.by_id
    context.site.wait_until(lambda: name in known)


@behave.when('target "{name}" is no longer listed')
def unlist(context, name):
    context.unlisted_at = time.monotonic()
    context.site.store.delete(f'servers/{name}')


@behave.when('target "{name}" is listed {seconds:f} seconds later')
def listed_later(context, name, seconds):
    gevent.sleep(seconds)
    context.site.add_plain(name)


@behave.then(
    'target "{name}" is removed {least:f} to {most:f} seconds'
    ' after it was listed last'
)
def removed_within(context, name, least, most):
    known = context.site.gateway.targets.by_id
    context.site.wait_until(lambda: name not in known)
    seconds = time.monotonic() - context.unlisted_at
    assert least <= seconds <= most, seconds


@behave.then('no task of the gateway has failed')
def no_task_failed(context):
    assert not log_capture.events(context.records, 'task_failed')


@behave.when('target "{name}" will answer with "{fault}"')
@behave.when('target "{name}" will answer with ""')
def next_fault(context, name, fault=''):
    context.site.targets[name].faults.append(fault)


@behave.when('target "{name}" will shed the next {count:d} requests')
def next_sheds(context, name, count):
    context.site.targets[name].faults += ['shed'] * count


@behave.when('the engine that gets the request will "{fault}"')
@behave.when('the engine that gets the request will ""')
def next_engine_fault(context, fault=''):
    shared = [fault] if fault else []
    for engine in context.site.targets.values():
        engine.faults = shared


@behave.when('another target takes over the address of "{name}"')
def take_over_address(context, name):
    context.site.targets[name].id = 'another-instance'


@behave.when('a caller sends a request to route "{route}"')
def ask(context, route):
    context.attempt = context.site.new_id()
    context.answer = context.site.ask(route, attempt=context.attempt)


@behave.when('a caller sends a request to route "{route}" {count:d} times')
def ask_often(context, route, count):
    context.answers = [context.site.ask(route) for _ in range(count)]


@behave.when('a caller sends a request to route "{route}" with these headers')
def ask_with(context, route):
    context.attempt = context.site.new_id()
    context.answer = context.site.ask(
        route,
        attempt=context.attempt,
        headers={row['name']: row['value'] for row in context.table},
    )


@behave.when('a caller sends a request to route "{route}" and disconnects')
def ask_and_leave(context, route):
    context.attempt = context.site.new_id()
    with context.site.connection() as line:
        context.site.send(line, route, attempt=context.attempt)
        context.site.wait_until(lambda: context.site.targets['a'].runs)


@behave.when('a caller writes {what}')
def write_raw(context, what):
    context.attempt = 'raw-1'
    host, port = context.site.settings.callers
    with socket.create_connection((host, port), 10) as sock:
        sock.sendall(RAW_REQUESTS[what].encode())
        data = b''
        while b'\r\n\r\n' not in data:
            more = sock.recv(4096)
            if not more:
                break
            data += more
    status = int(data.split(b' ')[1])
    context.answer = platform_site.Answer(status, {}, data, True)


@behave.given('a caller opens a stream on route "{route}"')
@behave.when('a caller opens a stream on route "{route}"')
def stream(context, route):
    _open_stream(context, route)


@behave.when(
    'a caller opens a stream on route "{route}" with a deadline of '
    '{milliseconds:d} ms'
)
def stream_until(context, route, milliseconds):
    _open_stream(context, route, deadline_ms=milliseconds)


def _open_stream(context, route, **options):
    context.attempt = context.site.new_id()
    context.line = context.stack.enter_context(context.site.connection())
    context.site.send(context.line, route, attempt=context.attempt, **options)


def _engine_of(context):
    def working():
        return [
            engine
            for engine in context.site.targets.values()
            if context.attempt in engine.made
        ]

    context.site.wait_until(working)
    return working()[0]


@behave.when('after {seconds:f} seconds its engine {leaves}')
def engine_leaves(context, seconds, leaves):
    engine = _engine_of(context)
    gevent.sleep(seconds)
    if leaves == 'is listed as draining':
        context.site.drain(engine.id)
    else:
        context.site.store.delete(f'servers/{engine.id}')


@behave.when('an engine runs the stream')
def engine_runs(context):
    _engine_of(context)


@behave.when('the store stops responding')
def store_silent(context):
    context.site.store.fault = 'silent'


@behave.when(
    'after {seconds:f} seconds a report of its engine says that it leaves'
)
def engine_reports_leaving(context, seconds):
    engine = _engine_of(context)
    gevent.sleep(seconds)
    engine.leaves = True


@behave.then('no engine was asked for a load report')
def not_asked(context):
    engines = context.site.targets.values()
    assert not any(engine.reports for engine in engines)


@behave.then('each engine was asked for a load report at most once')
def asked_once(context):
    engines = context.site.targets.values()
    counts = [engine.reports for engine in engines]
    assert max(counts) == 1, counts


@behave.when('the caller disconnects after {seconds:f} seconds')
def caller_leaves(context, seconds):
    _engine_of(context)
    gevent.sleep(seconds)
    context.line.close()


@behave.when('the operator {does}')
def operator(context, does):
    site = context.site
    before = site.gateway.configuration.version
    if does == 'takes the key away':
        site.keys = {'north': []}
        site.publish()
    elif does == 'drops route "once"':
        del site.routes['once']
        site.publish()
    elif does == 'publishes an older version without routes':
        site.routes.clear()
        site.publish(0)
    elif does == 'publishes bytes that are no configuration':
        site.store.put('op/config', b'{"version": "x"')
    elif does == 'publishes version 9 and then version 8':
        site.publish(9)
        site.publish(8)
    else:
        site.publish(before)
    # Changes are read in order: once this one is known, so are those before.
    site.add_plain(f'marker-{site.store.revision}', service='marker')
    site.wait_until(
        lambda: set(site.targets) <= set(site.gateway.targets.by_id)
    )


@behave.when('the store is "{fault}" for {seconds:d} seconds')
def store_fault(context, fault, seconds):
    context.site.store.fault = fault
    gevent.sleep(seconds)


@behave.when('the store is back')
def store_back(context):
    context.site.store.fault = ''
    context.site.wait_until(lambda: context.site.gateway.is_ready)


@behave.when(
    'the store forgets its history while target "{name}" begins to drain'
)
def store_forgets(context, name):
    context.site.drain(name)
    context.site.store.forget()
    state = context.site.gateway.targets.by_id
    context.site.wait_until(lambda: state[name].is_leaving)


@behave.when('target "{name}" is listed as draining')
def draining(context, name):
    context.site.drain(name)
    state = context.site.gateway.targets.by_id
    context.site.wait_until(lambda: state[name].is_leaving)


@behave.then('the caller gets status {status:d} and "{body}"')
def gets_response(context, status, body):
    if not hasattr(context, 'answer'):
        context.answer = platform_site.read(context.line)
    answer = context.answer
    assert answer.status == status, answer
    if body == 'its answer':
        names = [f'answer of {n} to' for n in context.site.targets]
        text = answer.body.decode()
        assert text.endswith(context.attempt), answer
        assert any(text.startswith(n) for n in names), answer
        assert answer.is_whole
        signature = answer.headers['kingcupfront-server-signature']
        assert signature == platform_server.SIGNATURE
    elif body == 'its failure':
        assert answer.body == b'own failure', answer
        assert 'kingcupfront-server-signature' in answer.headers
    else:
        assert 'kingcupfront-server-signature' not in answer.headers, answer


@behave.then('every caller got status {status:d}')
def all_got(context, status):
    assert {a.status for a in context.answers} == {status}, context.answers


@behave.then('the caller gets a Retry-After header')
def has_retry_after(context):
    assert float(context.answer.headers['retry-after']) > 0


@behave.then('the request was executed {count:d} times')
def executed(context, count):
    runs = [
        run
        for target in context.site.targets.values()
        for run in target.runs
        if run == context.attempt
    ]
    assert len(runs) == count, runs


@behave.then('target "{name}" executed {count:d} requests')
def target_ran(context, name, count):
    assert len(context.site.targets[name].runs) == count


@behave.then('target "{name}" accepted {count:d} connections')
def connected(context, name, count):
    assert context.site.targets[name].connections == count


@behave.then('target "{name}" saw the request\'s connection close')
def saw_close(context, name):
    target = context.site.targets[name]
    context.site.wait_until(lambda: context.attempt in target.closed_early)


@behave.then('target "{name}" received these headers')
def saw_headers(context, name):
    seen = context.site.targets[name].seen[-1]
    for row in context.table:
        assert seen.get(row['name'], '') == row['value'], (row, seen)


@behave.then(
    'the caller received events {first:d} to {last:d} once, in order and '
    'complete'
)
def whole_stream(context, first, last):
    answer = platform_site.read(context.line)
    context.stream_body = answer.body
    assert answer.status == 200, answer
    found = platform_site.numbers(answer.body)
    assert found == list(range(first, last + 1)), found
    assert answer.is_whole
    data = [x for x in answer.body.splitlines() if x.startswith(b'data')]
    assert all(context.attempt.encode() in line for line in data)


@behave.then('the caller received events {first:d} to {last:d} without an end')
def cut_stream(context, first, last):
    answer = platform_site.read(context.line)
    context.stream_body = answer.body
    found = platform_site.numbers(answer.body)
    assert found == list(range(first, last + 1)), found
    assert not answer.is_whole


@behave.then('the generation was served by {count:d} engines')
def engine_count(context, count):
    engines = [
        engine.id
        for engine in context.site.targets.values()
        if context.attempt in engine.runs
    ]
    assert len(engines) == count, engines


@behave.then('the generation continued after a {means}')
def continued_after(context, means):
    moves = [m for e in context.site.targets.values() for m in e.moves]
    kinds = [bool(move.get('last')) for move in moves]
    assert kinds == ([False, True] if means == 'move' else []), moves


@behave.then('no engine produces events after a second')
def no_engine_produces(context):
    engines = context.site.targets.values()
    counts = {e.id: dict(e.made) for e in engines}
    time.sleep(1)
    later = {e.id: dict(e.made) for e in engines}
    first = {e.id: dict(e.made) for e in engines}
    time.sleep(0.3)
    assert later == {e.id: dict(e.made) for e in engines}, (counts, first)


@behave.then('the gateway is not ready')
def not_ready(context):
    with context.site.connection(context.site.settings.readiness) as line:
        line.request('GET', '/v1/readyz')
        assert line.getresponse().status == 503


@behave.then('version {version:d} is in force')
def in_force(context, version):
    found = platform_site.dump(context.site)['version']
    assert found == version, json.dumps(found)
