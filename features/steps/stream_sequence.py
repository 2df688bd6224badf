"""Steps for the order of events."""

import contextlib
import re
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from kingcupfront_core import address
from kingcupfront_stream import errors
from kingcupfront_stream import relay
from kingcupfront_stream import sequence
from kingcupfront_stream import sse

TARGET = address.Address('127.0.0.1', 9)
FUZZ = hypothesis.settings(
    derandomize=True,
    max_examples=400,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def token(run, number, last=False):
    finish = b'"stop"' if last else b'null'
    data = b'{"t": "%s%d", "finish_reason": %s}' % (run, number, finish)
    return sse.Event(b'%s.%d' % (run, number), data)


def end(run, number):
    return sse.Event(b'%s.%d' % (run, number), sequence.DONE)


def parse(text):
    if text == 'E':
        return sse.Event(b'', sequence.DONE)
    run, kind, number = re.match('(.)([FEx]?)(.*)', text).groups()
    run = run.encode()
    if kind == 'x':
        return sse.Event(run + b'.x', b'{}')
    if kind == 'E':
        return end(run, int(number))
    return token(run, int(number), kind == 'F')


@behave.given('a stream sequence of run "{run}" after event {after:d}')
def make(context, run, after):
    context.sequence = sequence.Sequence(run.encode(), after)


@behave.when('the stream events "{events}" arrive')
def arrive(context, events):
    parsed = [parse(text) for text in events.split()]
    context.passed = context.sequence.accept(parsed)


@behave.then('the stream passes on "{passed}" and its state is "{state}"')
def check(context, passed, state):
    wanted = [parse(text).data for text in passed.split()]
    assert [e.data for e in context.passed] == wanted, context.passed
    order = context.sequence
    found = 'ended' if order.ended else order.fault or 'open'
    assert found == state, found


@behave.then('the stream passes on "" and its state is "{state}"')
def check_nothing(context, state):
    check(context, '', state)


class Reader:
    """Gives out prepared batches, then fails."""

    def __init__(self, run, batches, failure):
        self.run = run
        self.number = ''
        self._batches = iter(batches)
        self._failure = failure

    def read(self, silence_seconds):
        for batch in self._batches:
            return batch
        if self._failure is None:
            return []
        raise self._failure


class FaultyEngine:
    """A generation of ten tokens behind faulty connections."""

    total = 10

    def __init__(self, data):
        self._data = data
        self._run = b'a'

    def start(self, *arguments):
        return self._connect(0)

    def resume(self, target, generation, run, after, silence):
        return self._connect(after)

    def _connect(self, after):
        draw = self._data.draw
        fate = draw(
            strategies.sampled_from(
                ['serve'] * 8 + ['busy', 'silent', 'closed', 'forgot', 'new']
            )
        )
        if fate == 'new':
            self._run = b'b'
            return contextlib.nullcontext(self._reader(draw, 0))
        if fate == 'serve':
            return contextlib.nullcontext(self._reader(draw, after))
        raise {
            'busy': errors.RefusedError('busy', 503, b''),
            'silent': errors.SilentError('silent'),
            'closed': errors.UnreachableError('closed', closed=True),
            'forgot': errors.RefusedError('forgot', 404, b''),
        }[fate]

    def _reader(self, draw, after):
        last = self.total
        events = [token(self._run, n, n == last) for n in range(1, last + 1)]
        events = events[after:] + [end(self._run, last + 1)]
        for _ in range(draw(strategies.integers(0, 3))):
            index = draw(strategies.integers(0, len(events) - 1))
            match draw(strategies.integers(0, 5)):
                case 0:
                    events.insert(index, events[index])
                case 1:
                    events[index : index + 1] = [token(b'z', index + 1)]
                case 2:
                    events.insert(index, events.pop())
                case 3:
                    del events[index:]
                case 4:
                    events.insert(index, token(b'a', 1))
                case 5:
                    del events[index]
            events = events or [end(self._run, 99)]
        size = draw(strategies.integers(1, 4))
        batches = [events[i : i + size] for i in range(0, len(events), size)]
        failure = draw(
            strategies.sampled_from(
                [
                    None,
                    errors.SilentError('silent'),
                    errors.EngineError('reset', sent=True),
                ]
            )
        )
        return Reader(self._run, batches, failure)


def relay_once(data):
    item = relay.Relay(FaultyEngine(data), TARGET, 'g')
    got = []
    try:
        for events in item.start('/v1/completions', b'{}'):
            got += events
        result = 'whole'
    except errors.LostError as error:
        result = error.delivered
    except errors.EngineError:
        result = 'nothing'
    return got, result


@behave.when('many streams are relayed over connections with random faults')
def fuzz(context):
    context.results = []

    @FUZZ
    @hypothesis.given(strategies.data())
    def run(data):
        context.results.append(relay_once(data))

    with mock.patch.object(relay.time, 'sleep'):
        run()


@behave.then('no stream token was repeated, skipped or of another generation')
def check_tokens(context):
    assert len(context.results) >= 100, len(context.results)
    for got, _ in context.results:
        tokens = [e for e in got if e.data != sequence.DONE]
        run = tokens[0].id.partition(b'.')[0] if tokens else b''
        wanted = [b'%s.%d' % (run, n + 1) for n in range(len(tokens))]
        assert [e.id for e in tokens] == wanted, tokens


@behave.then('each stream ended whole or lost with the exact count')
def check_ends(context):
    kinds = set()
    for got, result in context.results:
        tokens = [e for e in got if e.data != sequence.DONE]
        whole = bool(got) and got[-1].data == sequence.DONE
        assert whole == (result == 'whole'), (got, result)
        if whole:
            assert len(tokens) == FaultyEngine.total, got
        else:
            assert len(tokens) == (0 if result == 'nothing' else result)
        kinds.add('lost' if isinstance(result, int) else result)
    assert {'whole', 'lost'} <= kinds, kinds


@behave.when('stream events are cut into random pieces')
def cut(context):
    context.pairs = []
    text = b''.join(
        b'id: a.%d\ndata: {"n": %d}\n\n' % (n, n) for n in range(5)
    )

    @FUZZ
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(text))),
        strategies.booleans(),
    )
    def run(cuts, crlf):
        whole = text.replace(b'\n', b'\r\n') if crlf else text
        ends = [0, *sorted(cuts), len(whole)]
        parser = sse.Parser()
        found = []
        for start, stop in zip(ends, ends[1:], strict=False):
            found += parser.feed(whole[start:stop])
        context.pairs.append(found)

    run()


@behave.then('the stream parser finds the same events')
def check_cut(context):
    wanted = [sse.Event(b'a.%d' % n, b'{"n": %d}' % n) for n in range(5)]
    assert all(found == wanted for found in context.pairs)
