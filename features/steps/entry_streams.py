"""Steps for streams through entries when engines or callers fail."""

import http.client
import json
import signal
import time

import behave
import gevent

from features.support import fleet
from features.support import handles

PATH = '/v1/chat/completions'
KEEP = {'Kingcupfront-On-Leave': 'keep'}
RESTART = {'Kingcupfront-On-Lost': 'restart'}
OTHER_KEY = 'other-key'
SHARED = {}
MAX_ENTRY_GROWTH_BYTES = 16 * 1024 * 1024


class Stream:
    """A streamed response as a caller reads it."""

    def __init__(self, entry, tokens=0, headers=None, last_id=None):
        host, port = entry.callers.rsplit(':', 1)
        self.entry = entry
        self.line = http.client.HTTPConnection(host, int(port), timeout=30)
        headers = {'Authorization': f'Bearer {fleet.KEY}'} | (headers or {})
        if last_id is None:
            body = json.dumps(request(tokens) | {'stream': True})
            self.line.request('POST', PATH, body, headers)
        else:
            headers['Last-Event-ID'] = last_id
            self.line.request('GET', '/v1/streams', headers=headers)
        self.answer = self.line.getresponse()
        self.events = []
        self.text = b''
        if self.answer.status != 200:
            self.text = self.answer.read()

    def read(self, up_to=None):
        """Return the events read so far, each as a dict of its fields."""
        fields = {}
        try:
            for raw in self.answer:
                line = raw.decode().rstrip('\n')
                if line and not line.startswith(':'):
                    name, _, value = line.partition(': ')
                    fields[name] = value
                elif fields:
                    self.events.append(fields)
                    fields = {}
                    if up_to and len(self.events) >= up_to:
                        break
        except (OSError, http.client.HTTPException):
            pass
        return self.events

    def close(self):
        # The response keeps the socket open after its connection is closed.
        self.answer.close()
        self.line.close()


def request(tokens):
    return {
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'max_tokens': tokens,
    }


def words(events):
    rows = [e['data'] for e in events if 'id' in e]
    choices = [json.loads(row)['choices'][0] for row in rows]
    return [c['delta']['content'].strip() for c in choices]


def check_one_generation(got, tokens):
    name = got[0].split('-')[0]
    wanted = [f'{name}-{n + 1}' for n in range(tokens)]
    assert got == wanted, got


def keep_open(context, stream):
    context.stack.callback(stream.close)
    return stream


def start_fleet(context, entries, engines):
    context.fleet = fleet.Fleet()
    objects = fleet.simple_objects()
    team = dict(objects[-1], name='south')
    team['key_hashes'] = [fleet.hashlib.sha256(OTHER_KEY.encode()).hexdigest()]
    context.fleet.publish([*objects, team])
    context.engines = [
        context.fleet.add_target('engine', 'assistant', f'engine-{n}')
        for n in range(engines)
    ]
    for _ in range(entries):
        context.fleet.add_entry()
    context.fleet.wait_ready()
    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: len(e.dump()['targets']) == engines,
            'the entry knows all engines',
        )


@behave.given('a stream fleet of {entries:d} entries and {engines:d} engines')
def own_fleet(context, entries, engines):
    start_fleet(context, entries, engines)
    context.stack.callback(context.fleet.close)


@behave.given('the shared stream fleet of 2 entries and 2 engines')
def shared_fleet(context):
    """Provide the fleet that the scenarios of a feature share, unfaulted."""
    if not SHARED:
        start_fleet(context, 2, 2)
        context.add_cleanup(SHARED.clear, layer='feature')
        context.add_cleanup(context.fleet.close, layer='feature')
        SHARED.update(fleet=context.fleet, engines=context.engines)
    context.fleet, context.engines = SHARED['fleet'], SHARED['engines']
    for engine in context.engines:
        fleet.post(f'{engine.url}/reset', {})


@behave.given('each engine has the stream fault "{fault}"')
def set_faults(context, fault):
    for engine in context.engines:
        engine.faults(**json.loads(fault))


@behave.given('the first engine has the stream fault "{fault}"')
def set_first_fault(context, fault):
    context.engines[0].faults(**json.loads(fault))


@behave.given('the stream engine that serves next has the fault "{fault}"')
def set_next_fault(context, fault):
    # Both engines get the fault, since either may serve first. Both are held
    # until the fault of the one that does not serve is cleared.
    set_faults(context, fault)
    set_faults(context, '{"held": true}')
    context.mend = True


@behave.when('the second engine has no stream fault')
def mend_second(context):
    context.engines[1].faults(die_after=None)


def mend_other(context):
    """Clear the fault of the idle engine once the other one serves."""

    def serving():
        return [e for e in context.engines if e.executions()]

    fleet.until(serving, 'an engine serves')
    for engine in context.engines:
        if not engine.executions():
            engine.faults(die_after=None, cut_after=None, end_after=None)
    set_faults(context, '{"held": false}')


@behave.when('a stream of {tokens:d} tokens is requested')
def ask_stream(context, tokens):
    context.stream = keep_open(
        context, Stream(context.fleet.entries[0], tokens)
    )
    context.stream.read()


@behave.when(
    'a stream of {tokens:d} tokens is requested with restarts allowed'
)
def ask_restart(context, tokens):
    mending = gevent.spawn(mend_other, context)
    context.stream = keep_open(
        context, Stream(context.fleet.entries[0], tokens, RESTART)
    )
    mending.get()
    context.stream.read()


@behave.when('{count:d} streams of {tokens:d} tokens are requested')
def ask_streams(context, count, tokens):
    context.streams = []
    for _ in range(count):
        ask_stream(context, tokens)
        context.streams.append(context.stream)
    context.tokens = tokens


@behave.then('each stream is complete')
def check_streams(context):
    for stream in context.streams:
        context.stream = stream
        check_whole(context, context.tokens)


@behave.then('each stream is complete and the first engine started none')
def check_left(context):
    check_streams(context)
    assert not context.engines[0].executions()


@behave.then(
    'the stream has tokens 1 to {tokens:d} of one generation and its end event'
)
def check_whole(context, tokens):
    events = context.stream.events
    assert context.stream.answer.status == 200, context.stream.answer.status
    assert events and events[-1]['data'] == '[DONE]', events[-1:]
    check_one_generation(words(events), tokens)


@behave.then('the engines started {count:d} generations in total')
def check_begun(context, count):
    begun = [g for e in context.engines for g in e.executions()]
    assert len(begun) == count, begun


@behave.then(
    'the stream response is {status:d} "{code}" with outcome "{outcome}"'
)
def check_error(context, status, code, outcome):
    answer = context.stream.answer
    text = context.stream.text
    assert answer.status == status, (answer.status, text)
    assert answer.headers['Kingcupfront-Outcome'] == outcome
    assert json.loads(text)['error']['code'] == code, text


@behave.then(
    'the stream response is {status:d} "{code}" with outcome "{outcome}" '
    'and Retry-After'
)
def check_retry(context, status, code, outcome):
    check_error(context, status, code, outcome)
    assert int(context.stream.answer.headers['Retry-After']) >= 1


def check_lost(events):
    last = events[-1]
    assert last.get('event') == 'error', last
    error = json.loads(last['data'])['error']
    assert error['code'] == 'lost', error
    assert error['outcome'] == 'lost', error
    return error['delivered']


@behave.then(
    'the stream has {tokens:d} tokens of one generation and is reported '
    'lost after {count:d}'
)
def check_lost_count(context, tokens, count):
    check_one_generation(words(context.stream.events), tokens)
    assert check_lost(context.stream.events) == count


@behave.then(
    'the stream voids {count:d} tokens and has tokens 1 to {tokens:d} '
    'of another generation'
)
def check_restart(context, count, tokens):
    events = context.stream.events
    kinds = [e.get('event') for e in events]
    at = kinds.index('restart')
    assert json.loads(events[at]['data']) == {'voided': count}
    check_one_generation(words(events[:at]), count)
    check_one_generation(words(events[at:]), tokens)
    ids = {handles.signed_part(events[i]['id']) for i in (0, -2)}
    assert len(ids) == 2, ids
    assert events[-1]['data'] == '[DONE]'


@behave.when('a response of {tokens:d} tokens is requested without streaming')
def ask_plain(context, tokens):
    entry = context.fleet.entries[0]
    host, port = entry.callers.rsplit(':', 1)
    line = http.client.HTTPConnection(host, int(port), timeout=30)
    context.stack.callback(line.close)
    headers = {'Authorization': f'Bearer {fleet.KEY}'}
    line.request('POST', PATH, json.dumps(request(tokens)), headers)
    mend_other(context)
    answer = line.getresponse()
    context.plain = json.loads(answer.read())
    assert answer.status == 200, context.plain
    assert answer.headers['Kingcupfront-Outcome'] == 'done'


@behave.then(
    'the response has {tokens:d} tokens of one generation and the usage'
)
def check_plain(context, tokens):
    choice = context.plain['choices'][0]
    check_one_generation(choice['message']['content'].split(), tokens)
    assert choice['finish_reason'] == 'stop'
    usage = context.plain['usage']
    assert usage['completion_tokens'] == tokens, usage
    assert usage['prompt_tokens'] > 0, usage


@behave.when('a stream of {tokens:d} tokens is read up to {count:d}')
def read_part(context, tokens, count, headers=None):
    context.stream = keep_open(
        context, Stream(context.fleet.entries[0], tokens, headers)
    )
    context.stream.read(count)
    context.first = context.stream


@behave.when(
    'a stream of {tokens:d} tokens is read up to {count:d}, not asking '
    'to keep it'
)
def read_part_plain(context, tokens, count):
    read_part(context, tokens, count)


@behave.when(
    'a stream of {tokens:d} tokens is read up to {count:d}, asking to keep it'
)
def read_part_kept(context, tokens, count):
    read_part(context, tokens, count, KEEP)


@behave.when(
    'a stream of {tokens:d} tokens is read up to {count:d} and its '
    'engine gets {name}'
)
def stop_engine(context, tokens, count, name):
    read_part(context, tokens, count)
    serving = next(e for e in context.engines if e.executions())
    serving.kill(getattr(signal, name))
    if name == 'SIGSTOP':
        time.sleep(2)
        serving.kill(signal.SIGCONT)
    context.stream.read()


@behave.then('the stream is reported lost with the exact token count')
def check_lost_exact(context):
    events = context.stream.events
    got = words(events)
    check_one_generation(got, len(got))
    assert check_lost(events) == len(got)


@behave.then('the stream has tokens 1 to {tokens:d} after the engine resumed')
def check_woke(context, tokens):
    check_whole(context, tokens)


@behave.when(
    'a stream of {tokens:d} tokens is read up to {count:d} and its '
    'entry gets {name}'
)
def stop_entry(context, tokens, count, name):
    read_part(context, tokens, count, KEEP)
    context.fleet.entries[0].kill(getattr(signal, name))


@behave.when('the caller resumes the stream through the other entry')
def resume(context):
    last = context.first.events[-1]['id']
    fresh = Stream(context.fleet.entries[1], last_id=last)
    fresh.events = list(context.first.events)
    context.stream = keep_open(context, fresh)
    fresh.read(len(fresh.events) + 3)


@behave.when('the stream is read to its end')
def read_rest(context):
    context.stream.read()


@behave.when('the first stream connection is closed')
def close_first(context):
    context.first.close()
    if context.stream is not context.first:
        context.stream.read()


@behave.then('the generation of the stream is {state}')
def check_generation(context, state):
    def find():
        rows = [
            g
            for e in context.engines
            for g in fleet.get(f'{e.url}/generations')['generations'].values()
        ]
        assert len(rows) == 1, rows
        return rows[0]

    wanted = state == 'cancelled'
    if wanted:
        fleet.until(
            lambda: find()['cancelled'], 'the generation is cancelled', 10
        )
    else:
        fleet.until(
            lambda: not find()['readers'], 'the generation has no readers', 10
        )
        assert not find()['cancelled']


def resident_bytes(entry):
    with open(f'/proc/{entry.popen.pid}/statm') as file:
        return int(file.read().split()[1]) * 4096


@behave.when('a stream of {tokens:d} tokens is requested and not read')
def ask_unread(context, tokens):
    for engine in context.engines:
        engine.faults(token_seconds=0.0)
    context.before = resident_bytes(context.fleet.entries[0])
    context.unread = keep_open(
        context, Stream(context.fleet.entries[0], tokens, KEEP)
    )
    context.unread_tokens = tokens


@behave.then('the memory of the entry has grown by less than 16 MiB')
def check_memory(context):
    grown = resident_bytes(context.fleet.entries[0]) - context.before
    assert grown < MAX_ENTRY_GROWTH_BYTES, grown


@behave.then('the unread stream is complete once it is read')
def check_unread(context):
    context.stream = context.unread
    context.stream.read()
    check_whole(context, context.unread_tokens)


@behave.when('the stream is resumed with {kind}')
def resume_badly(context, kind):
    signed, _, number = context.stream.events[0]['id'].rpartition('.')
    key = OTHER_KEY if 'team' in kind else fleet.KEY
    last = {
        'a forged handle': f'x{signed}.{number}',
        'no handle': '',
        "another team's key": f'{signed}.{number}',
        'a negative number': f'{signed}.-1',
    }[kind]
    context.stream = keep_open(
        context,
        Stream(
            context.fleet.entries[1],
            headers={'Authorization': f'Bearer {key}'},
            last_id=last,
        ),
    )
