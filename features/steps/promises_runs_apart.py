"""Steps for fleets of test runs that run beside one another."""

import json
import signal
import subprocess
import sys
import types

import behave

from features.support import fleet

SHOW = 'from features.support import fleet; print(fleet.KEY, fleet.SECRET)'
STOP_SECONDS = 30


@behave.then('two runs of the test programs share neither key nor secret')
def apart(context):
    shown = [
        subprocess.check_output(
            [sys.executable, '-c', SHOW], text=True
        ).split()
        for _ in range(2)
    ]
    assert len({value for values in shown for value in values}) == 4, shown


@behave.given('two entries and a plain service')
def first_run(context):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.publish(fleet.simple_objects())
    _, context.plains = context.fleet.launch(entries=2)


@behave.given(
    'an entry of another run takes the port of the first when it has stopped'
)
def second_run(context):
    stopped = context.fleet.entries[0]
    address = stopped.callers
    stopped.kill(signal.SIGTERM)
    stopped.popen.wait(STOP_SECONDS)
    other = fleet.Fleet(secret='secret-of-another-run')
    context.stack.callback(other.close)
    other.publish(fleet.simple_objects(key='key-of-another-run'))
    context.plains += other.launch(entries=1)[1]
    other.add_entry(callers={'address': address})
    other.wait_ready()
    context.taken = types.SimpleNamespace(url=f'http://{address}')


@behave.when('a caller of the first run sends an action to that port')
def act(context):
    context.response = fleet.ask(
        context.taken, '/services/register/lots', {'id': 'of the first run'}
    )


@behave.then('it is refused as "{code}"')
def refused(context, code):
    error = json.loads(context.response.data)['error']
    assert error['code'] == code, error


@behave.then('no plain service of either run has run it')
def not_run(context):
    assert not [e for plain in context.plains for e in plain.executions()]
