"""Steps for streams whose connection ends before, with or after their run."""

import behave
import gevent

from features.support import platform_site
from kingcupfront_gateway import errors
from kingcupfront_gateway import stream_end
from kingcupfront_platform import servers

RUN_STATES = {
    'was not stopped': stream_end.RunState.RUNNING,
    'may be stopped': stream_end.RunState.MAYBE_STOPPED,
    'was stopped': stream_end.RunState.STOPPED,
    'had ended': stream_end.RunState.ENDED,
}


@behave.given('engines whose answer to the call that stops a run {response}')
def on_stop_call(context, response):
    for engine in context.site.targets.values():
        engine.on_stop_call = response.replace('is sent at once', '')


@behave.then(
    'the caller received a part of events {first:d} to {last:d} without an end'
)
def part_of_stream(context, first, last):
    answer = platform_site.read(context.line)
    found = platform_site.numbers(answer.body)
    assert found == list(range(first, len(found) + 1)), found
    assert 0 < len(found) < last, len(found)
    assert not answer.is_whole


@behave.then('the caller received no event')
def no_event(context):
    answer = platform_site.read(context.line)
    assert answer.status == 502, answer
    assert not platform_site.numbers(answer.body), answer


@behave.when(
    'a stream {frame} ends {where} while its run {run} and its engine {engine}'
)
def stream_ends(context, frame, where, run, engine):
    end = stream_end.StreamEnd(
        is_framed=frame == 'with chunks',
        is_between_events=where != 'within an event',
        has_events=where != 'before any event',
        run_state=RUN_STATES[run],
    )
    context.judgement = 'complete'
    try:
        stream_end.raise_unless_complete(end, lambda: engine == 'is gone')
    except errors.StoppedRunError:
        context.judgement = 'stopped'
    except errors.BrokenReplyError:
        context.judgement = 'broken'


@behave.then('the end of the stream is judged as "{judgement}"')
def judged(context, judgement):
    assert context.judgement == judgement, context.judgement


@behave.given('a run that {before}')
def run_before(context, before):
    context.run_state = RUN_STATES[before]


@behave.when('a {call} call is answered with status {status:d} {handle}')
def call_answered(context, call, status, handle):
    body = {'kv_handle': 'h'} if handle == 'and a handle' else {}
    context.run_state = stream_end.state_after_transfer(
        context.run_state,
        servers.read_moved(status, body),
        is_last=call == 'last',
    )


@behave.then('the run {after}')
def run_after(context, after):
    assert context.run_state is RUN_STATES[after], context.run_state


@behave.when(
    'the engine of the stream turns stop calls away and drains after '
    '{seconds:f} seconds'
)
def turns_away(context, seconds):
    engines = context.site.targets.values()
    context.site.wait_until(
        lambda: any(context.attempt in e.made for e in engines)
    )
    engine = next(e for e in engines if context.attempt in e.made)
    gevent.sleep(seconds)
    engine.on_stop_call = 'is turned away'
    context.site.drain(engine.id)


@behave.then(
    'the engine was not asked again after it had said that the run has ended'
)
def not_asked_again(context):
    calls = [c for e in context.site.targets.values() for c in e.moves]
    assert len([call for call in calls if call.get('last')]) == 1, calls
    assert calls[-1].get('last'), calls
