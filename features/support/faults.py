"""Faults that the failure suite causes, by name."""

import signal

import gevent

from kingcupfront_core import registry

faults = registry.Registry('fault')
PAUSE_SECONDS = 3.0


@faults.register('none')
def none(context, rng):
    """Cause nothing, as a control."""


@faults.register('kill an entry')
def kill_entry(context, rng):
    entry = rng.choice(context.fleet.entries)
    context.fleet.entries.remove(entry)
    entry.kill()
    assert context.fleet.add_entry(f'{entry.name}-again').callers


@faults.register('freeze an entry')
def freeze_entry(context, rng):
    entry = rng.choice(context.fleet.entries)
    entry.kill(signal.SIGSTOP)
    gevent.sleep(PAUSE_SECONDS)
    entry.kill(signal.SIGCONT)


@faults.register('stop an entry')
def stop_entry(context, rng):
    entry = rng.choice(context.fleet.entries)
    context.fleet.entries.remove(entry)
    context.fleet.deregister(entry.name)
    entry.kill(signal.SIGTERM)


@faults.register('kill an engine')
def kill_engine(context, rng):
    engine = rng.choice(context.engines)
    engine.kill()
    context.fleet.deregister(engine.id)
    context.engines.remove(engine)


@faults.register('freeze an engine')
def freeze_engine(context, rng):
    engine = rng.choice(context.engines)
    engine.kill(signal.SIGSTOP)
    gevent.sleep(PAUSE_SECONDS)
    engine.kill(signal.SIGCONT)


@faults.register('cut streams')
def cut_streams(context, rng):
    for engine in context.engines:
        engine.faults(cut_after=rng.randint(1, 20))


@faults.register('silence on a connection')
def silence(context, rng):
    rng.choice(context.engines).faults(stall_after=rng.randint(1, 20))


@faults.register('duplicate events')
def duplicate(context, rng):
    rng.choice(context.engines).faults(duplicate=True)


@faults.register('skip an event')
def skip(context, rng):
    rng.choice(context.engines).faults(skip=rng.randint(2, 20))


@faults.register('platform down')
def platform_down(context, rng):
    context.fleet.platform.faults(down=True)
    gevent.sleep(PAUSE_SECONDS)
    context.fleet.platform.faults(down=False)


@faults.register('plain service dies in a call')
def plain_dies(context, rng):
    context.plains[0].faults(die=True)
    gevent.sleep(PAUSE_SECONDS / 2)
    context.plains[0].faults(die=False)


@faults.register('plain service refuses')
def plain_refuses(context, rng):
    context.plains[0].faults(refuse=True)
    gevent.sleep(PAUSE_SECONDS / 2)
    context.plains[0].faults(refuse=False)


@faults.register('operators race')
def operators_race(context, rng):
    base = context.fleet.revision
    objects = context.fleet.objects
    context.fleet.publish(objects, revision=base + 1, based_on=base)
    gevent.sleep(rng.random() / 5)
    context.fleet.publish(objects, revision=base + 2, based_on=base)
