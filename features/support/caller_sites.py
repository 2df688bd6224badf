"""Sites with requests in many states, on gateways here and in processes."""

import signal

import gevent

from features.support import caller_states
from features.support import platform_site
from features.support.soak import gateways
from features.support.soak import world


def start(context, limits=(), add_services=caller_states.add_services):
    """Start a gateway in this process on a site with all services.

    :param limits: those of callers that differ from ``LIMITS``.
    """
    site = context.site = platform_site.Site(context.stack)
    scene = context.scene = caller_states.Scene(
        context.stack, site, lambda: tuple(site.settings.callers)
    )
    add_services(scene)
    site.limits |= dict(limits)
    site.add_plain('other')
    site.add_engine('other-engine')
    site.start()
    site.wait_until(
        lambda: set(site.targets) <= set(site.gateway.targets.by_id)
    )
    context.version = lambda: site.gateway.configuration.version
    context.dump = lambda: platform_site.dump(site)
    return scene


def start_process(context):
    """Start a gateway process on a site with all services."""
    site = context.site = world.World(
        context.stack, gateway_count=1, engine_count=1
    )
    process = context.process = site.gateways[0]
    scene = context.scene = caller_states.Scene(
        context.stack, site, lambda: (process.ip, gateways.CALLERS_PORT)
    )
    caller_states.add_services(scene)
    site.publish()
    site.run_gateways()
    context.version = lambda: process.state().get('version')
    context.dump = process.state
    site.wait_until(lambda: context.version() == site.version)
    site.wait_until(
        lambda: set(site.targets) <= set(context.dump()['targets'])
    )
    return scene


def wait_logged(process, name, count=1):
    """Wait until a process has logged an event so many times."""
    path = process.folder / f'{process.name}.log'
    with gevent.Timeout(platform_site.WAIT_SECONDS):
        while path.read_text().count(f'event={name}') < count:
            gevent.sleep(0.02)


def hang_up(process, count=1):
    for _ in range(count):
        process.signal(signal.SIGHUP)
        gevent.sleep(0.02)
