"""Requests that come while an entry stops, by name.

Each function returns a function that sends the request to the entry once it
stops, and the body of the action, if it is one.
"""

import functools

from features.support import fleet
from kingcupfront_core import registry

late_requests = registry.Registry('late request')
FIRST_USE = {'Kingcupfront-First-Use': 'true'}


def keyed(world, sender, owner):
    """Prepare an action under a new permit of an entry."""
    body = world.body()
    key = world.permits(world.fleet.entries[owner])[0]
    entry = world.fleet.entries[sender]
    return functools.partial(
        world.act, entry, key, body, headers=FIRST_USE
    ), body


def unkeyed(world, **options):
    body = world.body()
    entry = world.fleet.entries[1]
    return functools.partial(world.act, entry, '', body, **options), body


def generation(world, stream):
    body = {'model': 'assistant', 'prompt': 'hi', 'stream': stream}
    entry = world.fleet.entries[1]
    return functools.partial(fleet.ask, entry, '/v1/completions', body), None


@late_requests.register('an action that may end too late')
def may_end_late(world):
    return unkeyed(world)


@late_requests.register('an action that ends in time')
def ends_in_time(world):
    return unkeyed(world, service='desk')


@late_requests.register('an action under its permit')
def own_permit(world):
    return keyed(world, sender=1, owner=1)


@late_requests.register('an action under the permit of another entry')
def permit_of_another(world):
    return keyed(world, sender=1, owner=2)


@late_requests.register('an action under its permit by way of another entry')
def by_another(world):
    return keyed(world, sender=2, owner=1)


@late_requests.register('an action under its permit that has run')
def has_run(world):
    send, body = keyed(world, sender=1, owner=1)
    assert send().status == 200
    return send, body


@late_requests.register('a stream')
def stream(world):
    return generation(world, stream=True)


@late_requests.register('a whole generation')
def whole_generation(world):
    return generation(world, stream=False)


@late_requests.register('the rest of a stream')
def rest_of_stream(world):
    entry = world.fleet.entries[1]
    world.engine.faults(held=False)
    body = {'model': 'assistant', 'prompt': 'hi', 'max_tokens': 2}
    data = fleet.ask(entry, '/v1/completions', body | {'stream': True}).data
    event_id = data.partition(b'id: ')[2].partition(b'\n')[0].decode()
    return functools.partial(
        fleet.ask,
        entry,
        '/v1/streams',
        method='GET',
        headers={'Last-Event-ID': event_id},
    ), None
