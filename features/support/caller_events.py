"""What an operator does while requests are in some state.

Each function changes the configuration of a site, or its settings.
"""

import dataclasses

import gevent

from features.support import caller_states
from kingcupfront_core import errors
from kingcupfront_core import registry
from kingcupfront_gateway import process

OTHER_REGION = 'r-b'
KEPT_SERVICES = {'plain', 'engine'}
STORM_VERSIONS = 10
STORM_INTERVAL_SECONDS = 0.08
LIMIT_CHANGES = {
    'lowers the header bytes': {'max_header_bytes': 80},
    'raises the header bytes': {'max_header_bytes': 20_000},
    'lowers the body bytes': {'max_body_bytes': 5},
    'raises the body bytes': {'max_body_bytes': 300_000},
    'lowers the header time-out': {'header_timeout_ms': 50},
    'raises the header time-out': {'header_timeout_ms': 20_000},
    'lowers the idle time-out': {'idle_timeout_ms': 50},
    'raises the idle time-out': {'idle_timeout_ms': 20_000},
}

events = registry.Registry('event of the configuration')


def play(site, does):
    """Let the operator do something by its name."""
    if does in LIMIT_CHANGES:
        site.limits |= LIMIT_CHANGES[does]
        site.publish()
    else:
        events.get(does)(site)


@events.register('moves the routes to other services')
def move_routes(site):
    for route in site.routes.values():
        is_stream = route['route_type'] == 'streaming'
        route['service'] = 'engine' if is_stream else 'plain'
    site.publish()


@events.register('drops the routes')
def drop_routes(site):
    site.routes.clear()
    site.publish()


@events.register('drops the services')
def drop_services(site):
    for name in set(site.services) - KEPT_SERVICES:
        del site.services[name]
    site.publish()


@events.register('takes the team away')
def take_team(site):
    site.keys.clear()
    site.publish()


@events.register('takes the key away')
def take_key(site):
    site.keys['north'] = []
    site.publish()


@events.register('allows another region alone')
def allow_other_region(site):
    site.team_regions.append(OTHER_REGION)
    site.publish()


@events.register('publishes ten versions within a second')
def storm(site):
    moved = {name: route['service'] for name, route in site.routes.items()}
    for number in range(STORM_VERSIONS):
        is_last = number == STORM_VERSIONS - 1
        site.limits = dict(caller_states.LIMITS)
        if number % 2 and not is_last:
            site.limits['idle_timeout_ms'] = 1000
        for name, route in site.routes.items():
            route['service'] = moved[name]
            if number % 3 == 1:
                is_stream = route['route_type'] == 'streaming'
                route['service'] = 'engine' if is_stream else 'plain'
        site.publish()
        gevent.sleep(STORM_INTERVAL_SECONDS)


@events.register('reloads changed settings')
def reload_changed(site):
    gateway = site.gateway
    changed = dataclasses.replace(
        gateway.settings, retry_ratio=0.1, revocation=9.0, descriptors=400
    )
    gateway.platform.settings = lambda: changed
    process.reload_settings(gateway, is_signalled=True)
    assert gateway.settings is changed


@events.register('reloads broken settings')
def reload_broken(site):
    def broken():
        raise errors.BadInputError('broken settings of the test')

    site.gateway.platform.settings = broken
    process.reload_settings(site.gateway, is_signalled=True)
