"""Steps for misbehaving callers of an entry process."""

import time

import behave
import urllib3

from features.support import client_crowds
from features.support import fleet

MEGABYTE = 1000 * 1000
ANSWER_WAIT_SECONDS = 60
ATTEMPT_SECONDS = 5
PATHS = {
    'a model': '/v1/chat/completions',
    'a service': '/services/register/lots',
    'no route': '/none',
    'the administration': '/ready',
}


def _fields():
    return (
        'Host: entry',
        f'Authorization: Bearer {fleet.KEY}',
        'Content-Type: application/json',
    )


def _launch(context, **changes):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.publish(fleet.simple_objects())
    context.fleet.add_entry(register=False, **changes)
    context.fleet.launch(entries=0)
    context.entry = context.fleet.entries[0]
    pid = context.entry.popen.pid
    context.resources = client_crowds.Resources(pid)
    context.stack.callback(context.resources.close)
    assert _ask(context) == 200


@behave.given('an entry process with its default memory and descriptors')
def default_entry(context):
    _launch(context)


@behave.given('an entry process with {count:d} descriptors')
def bounded_entry(context, count):
    _launch(context, limits={'file_descriptors': count})


def _ask(context):
    """Return the status of one ordinary request; 0 if there is none."""
    try:
        return fleet.ask(
            context.entry,
            '/services/register/lots',
            {'lot': 7},
            timeout=ATTEMPT_SECONDS,
        ).status
    except urllib3.exceptions.HTTPError:
        return 0


@behave.when('{count:d} clients of the entry send {load} to {path}')
def clients_send(context, count, load, path):
    entry = context.entry
    is_admin = path == 'the administration'
    host, port = (entry.admin if is_admin else entry.callers).split(':')
    aim = client_crowds.Aim((host, int(port)), PATHS[path], _fields)
    client_crowds.send(context.stack, count, load, aim)


@behave.then('an ordinary request to the entry is answered')
def answered(context):
    end = time.monotonic() + ANSWER_WAIT_SECONDS
    while _ask(context) != 200 or not fleet.ready(context.entry):
        assert context.entry.popen.poll() is None, context.entry.text()
        assert time.monotonic() < end, 'no ordinary request was answered'
        time.sleep(0.2)


@behave.then(
    'the process has stayed within {memory:d} MB and {count:d} descriptors'
)
def within(context, memory, count):
    assert context.entry.popen.poll() is None, context.entry.text()
    context.resources.check(memory * MEGABYTE, count)
