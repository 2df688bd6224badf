"""Steps for the deadline of the shutdown of an entry."""

import json
import os
import signal
import time
import types

import behave
import gevent

from features.support import actions
from features.support import deadline_states
from features.support import fleet
from features.support import late_requests
from features.support import shutdown_work
from kingcupfront_core import clock
from kingcupfront_entry import responses
from kingcupfront_entry import shutdown

DEADLINE_SECONDS = 1.5
STOP_SECONDS = 60
BUSY_DEADLINE_SECONDS = 4.0
SIGNAL_DEADLINE_SECONDS = 1.0
# The event loop hears of the signal only then.
BUSY_SECONDS = 0.7
READ_BYTES = 65536


@behave.given('an entry with a drain deadline and {state}')
def entry_in_state(context, state):
    world = context.actions
    fleet.post(f'{world.engine.url}/reset', {})
    context.entry = world.restart(1, drain_deadline_seconds=DEADLINE_SECONDS)
    context.sock = deadline_states.states.get(state)(world)
    context.stack.callback(context.sock.close)


@behave.when('the entry is told to stop and ends by its drain deadline')
def stop_at_deadline(context):
    shutdown_work.stop(context.actions)
    entry = context.entry
    assert entry.popen.wait(STOP_SECONDS) == 0, entry.text()


@behave.when('its caller reads all that the entry has sent')
def read_all(context):
    data = b''
    while part := context.sock.recv(READ_BYTES):
        data += part
    assert data, 'no answer'
    head, _, context.body = data.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    context.status = int(lines[0].split()[1])
    context.headers = dict(line.split(': ', 1) for line in lines[1:])


@behave.then('the answer has the status {status:d} and the outcome "{told}"')
def check_answer(context, status, told):
    assert context.status == status, (context.status, context.body)
    assert context.headers['Kingcupfront-Outcome'] == told, context.headers
    assert ('Retry-After' in context.headers) == (status == 503)
    length = int(context.headers['Content-Length'])
    assert len(context.body) == length, context.body


@behave.then('the stream ends with an error whose outcome is "{told}"')
def check_stream(context, told):
    assert context.status == 200
    assert b'[DONE]' not in context.body
    assert context.body.endswith(b'\r\n0\r\n\r\n'), context.body[-200:]
    event = context.body.rpartition(b'event: error\ndata: ')[2]
    error = json.loads(event.partition(b'\n\n')[0])['error']
    assert error['outcome'] == told, error


@behave.given('an entry with a drain deadline that a stream keeps busy')
def busy_entry(context):
    world = context.actions
    fleet.post(f'{world.engine.url}/reset', {})
    context.entry = world.restart(
        1, drain_deadline_seconds=BUSY_DEADLINE_SECONDS
    )
    world.engine.faults(held=True)
    context.stack.callback(deadline_states.generation(world).close)
    fleet.until(lambda: context.entry.dump()['requests'], 'it is busy')


@behave.when('{request} is sent while the entry stops')
def sent_late(context, request):
    world = context.actions
    send, context.body = late_requests.late_requests.get(request)(world)
    shutdown_work.stop(world)
    context.response = send()


@behave.then(
    'it gets the status {status:d} and the outcome "{told}" before the '
    'deadline'
)
def check_late(context, status, told):
    response = context.response
    assert context.entry.popen.poll() is None, 'the entry has ended'
    assert response.status == status, (response.status, response.data)
    assert actions.outcome(response) == told, response.headers
    assert ('Retry-After' in response.headers) == (status == 503)
    if status == 503:
        assert actions.code(response) == 'draining', response.data
    fleet.post(f'{context.actions.engine.url}/reset', {})


@behave.then('it has run {runs:d} times')
def check_runs(context, runs):
    if context.body is not None:
        assert context.actions.runs(context.body) == runs


@behave.given('an entry with a drain deadline whose event loop is busy')
def busy_loop(context):
    context.received = context.stack.enter_context(shutdown.handle_signals())
    context.process = types.SimpleNamespace(
        settings=types.SimpleNamespace(
            drain_notice_seconds=0.0,
            drain_deadline_seconds=SIGNAL_DEADLINE_SECONDS,
        ),
        clock=clock.SYSTEM,
        draining=False,
        components_by_name={},
        active_requests_by_id={'never ended': None},
    )


@behave.when('a signal to stop arrives before the event loop hears of it')
def signal_while_busy(context):
    def busy():
        context.signalled_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        while time.monotonic() < context.signalled_at + BUSY_SECONDS:
            pass

    gevent.spawn(busy)
    context.received.wait()
    tracker = responses.ResponseTracker(context.process)
    shutdown.drain(context.process, tracker, context.received)


@behave.then('the final responses are due by the deadline from its arrival')
def due_from_arrival(context):
    latest = context.signalled_at + SIGNAL_DEADLINE_SECONDS
    late = context.process.final_response_at - latest
    assert late < 0, f"{late:.3f} s later"


@behave.given('a process that handles the signals of an operator')
def handles_signals(context):
    context.received = context.stack.enter_context(shutdown.handle_signals())


@behave.when('{count:d} signals to stop arrive one after the other')
def signals_arrive(context, count):
    for _ in range(count):
        os.kill(os.getpid(), signal.SIGTERM)
        gevent.sleep(0.05)


@behave.then('it stops, and it {waits} for keys')
def waits_for_keys(context, waits):
    received = context.received
    assert received.is_set
    assert received.skip_keys.is_set() == (waits == 'does not wait')
