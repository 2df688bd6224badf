"""Steps for configurations that change while requests run."""

import behave
import gevent

from features.support import log_capture
from kingcupfront_gateway import targets


def _drop_service(site, name):
    """Move the routes of a service to another and no longer list it."""
    kept = site.services.pop(name)
    site.services['other'] = kept | {'name': 'other'}
    for route in site.routes.values():
        if route['service'] == name:
            route['service'] = 'other'
    site.publish()
    return kept


def _drop_and_list_again(site):
    kept = _drop_service(site, 'engine')
    _wait_for_version(site)
    site.services['engine'] = kept
    site.publish()


def _list_as_plain(site):
    site.services['engine'] = {'name': 'engine', 'health_path': '/healthz'}
    site.publish()


def _shrink(site):
    site.services['engine']['engine'] |= {
        'slots': 1,
        'kv_capacity': 10,
        'moves': False,
        'stride': 1,
    }
    site.publish()


def _drop_routes(site):
    for name in ('stream', 'once'):
        del site.routes[name]
    site.publish()


def _take_key(site):
    site.keys = {'north': []}
    site.publish()


def _list_elsewhere(site):
    for engine in site.targets.values():
        engine.service = 'plain'
        site.store.put(f'servers/{engine.id}', engine.entry())
    site.publish()


CHANGES = {
    'drops the service of the engines': lambda s: _drop_service(s, 'engine'),
    'drops the service of plain targets': lambda s: _drop_service(s, 'plain'),
    'drops the service and lists it again': _drop_and_list_again,
    'lists the service of the engines as plain': _list_as_plain,
    'shrinks the engines and forbids migrations': _shrink,
    'drops the route': _drop_routes,
    'takes the key away': _take_key,
    'lists an engine under another service': _list_elsewhere,
}


def _wait_for_version(site):
    gateway = site.gateway
    site.wait_until(lambda: gateway.configuration.version == site.version)


@behave.given('targets that work for {seconds:f} seconds on a request')
def working_time(context, seconds):
    for target in context.site.targets.values():
        target.seconds = seconds


@behave.when('after {seconds:f} seconds the operator {does}')
def change(context, seconds, does):
    site = context.site
    site.wait_until(
        lambda: any(context.attempt in e.made for e in site.targets.values())
    )
    gevent.sleep(seconds)
    context.records = context.stack.enter_context(log_capture.capturing())
    CHANGES[does](site)
    _wait_for_version(site)


@behave.when(
    'a caller sends a request to route "{route}" and the operator {does}'
)
def ask_during_change(context, route, does):
    site = context.site
    context.attempt = site.new_id()
    asked = gevent.spawn(site.ask, route, attempt=context.attempt)
    site.wait_until(lambda: any(t.runs for t in site.targets.values()))
    CHANGES[does](site)
    _wait_for_version(site)
    context.answer = asked.get(timeout=targets.STABLE_CONTACT_SECONDS)


@behave.then('no request had an unexpected error')
def no_request_error(context):
    assert not log_capture.events(context.records, 'request_error')
