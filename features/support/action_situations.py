"""What happens around an action, by name; each returns the responses."""

import signal
from unittest import mock

import gevent

from features.support import actions
from kingcupfront_core import registry

permits = registry.Registry('situation of a permit')
own_keys = registry.Registry("situation of a caller's key")
FIRST_USE = {'Kingcupfront-First-Use': 'true'}
SHORT_LIFETIME_SECONDS = 0.5
LATE_SIGNAL_SECONDS = 0.4


def through_all(world, key, body, service='register'):
    return [world.act(e, key, body, service) for e in world.fleet.entries]


def together(world, key, body):
    tasks = [world.begin(e, key, body) for e in world.fleet.entries]
    return [task.get() for task in tasks]


@permits.register('the owner is alive')
def alive(world, body):
    key = world.permits(world.fleet.entries[1])[0]
    return [
        world.act(world.fleet.entries[2], key, body),
        *through_all(world, key, body),
    ]


@permits.register('the owner is still running it')
def busy(world, body):
    key = world.permits(world.fleet.entries[1])[0]
    world.plain.faults(hold=True)
    first = world.begin(world.fleet.entries[2], key, body)
    world.started(body)
    others = [world.begin(e, key, body) for e in world.fleet.entries]
    gevent.sleep(0.2)
    world.plain.faults(hold=False)
    return [task.get() for task in (first, *others)]


@permits.register('the service refuses it')
def refused(world, body):
    world.plain.faults(refuse=True)
    key = world.permits(world.fleet.entries[1])[0]
    first = world.act(world.fleet.entries[2], key, body)
    world.plain.faults(refuse=False)
    return [first, *through_all(world, key, body)[1:]]


@permits.register('the service drops the connection')
def dropped(world, body):
    world.plain.faults(die=True)
    key = world.permits(world.fleet.entries[1])[0]
    return through_all(world, key, body)


@permits.register('a gateway answers in place of the service')
def gateway(world, body):
    world.plain.faults(gateway=True)
    key = world.permits(world.fleet.entries[1])[0]
    return through_all(world, key, body)


@permits.register('the owner is paused and resumed')
def paused(world, body):
    owner = world.fleet.entries[1]
    key = world.permits(owner)[0]
    owner.kill(signal.SIGSTOP)
    tasks = [world.begin(world.fleet.entries[n], key, body) for n in (0, 2, 2)]
    gevent.sleep(0.5)
    owner.kill(signal.SIGCONT)
    return [task.get() for task in tasks]


@permits.register('the owner is paused until the permit has expired')
def paused_late(world, body):
    owner = world.fleet.entries[1]
    key = world.permits(owner, lifetime_seconds=SHORT_LIFETIME_SECONDS)[0]
    owner.kill(signal.SIGSTOP)
    tasks = [world.begin(world.fleet.entries[n], key, body) for n in (0, 2, 2)]
    gevent.sleep(2 * SHORT_LIFETIME_SECONDS)
    owner.kill(signal.SIGCONT)
    return [task.get() for task in tasks]


def after_kill(world, body, headers):
    owner = world.fleet.entries[1]
    key = world.permits(owner)[0]
    owner.kill()
    owner.popen.wait()
    first = world.act(world.fleet.entries[2], key, body, headers=headers)
    return [first, world.act(world.fleet.entries[0], key, body)]


@permits.register('the owner is killed before the first request')
def killed_before(world, body):
    return after_kill(world, body, {})


@permits.register('the owner is killed before a request marked as first use')
def killed_first_use(world, body):
    return after_kill(world, body, FIRST_USE)


@permits.register('the owner is killed while the action runs')
def killed_running(world, body):
    owner = world.fleet.entries[1]
    key = world.permits(owner)[0]
    world.plain.faults(hold=True)
    first = world.begin(world.fleet.entries[2], key, body, headers=FIRST_USE)
    world.started(body)
    owner.kill()
    owner.popen.wait()
    world.plain.faults(hold=False)
    return [first.get(), world.act(world.fleet.entries[0], key, body)]


@permits.register(
    'the owner is restarted at its address before the first request'
)
def restarted_before(world, body):
    key = world.permits(world.fleet.entries[1])[0]
    world.restart(1)
    return through_all(world, key, body)


@permits.register(
    'the owner is restarted at its address after the first request'
)
def restarted_after(world, body):
    key = world.permits(world.fleet.entries[1])[0]
    first = world.act(world.fleet.entries[2], key, body)
    world.restart(1)
    return [first, *through_all(world, key, body)[:2]]


@permits.register('the owner drains while the action runs')
def drains(world, body):
    owner = world.fleet.entries[1]
    key = world.permits(owner)[0]
    world.plain.faults(hold=True)
    tasks = [world.begin(world.fleet.entries[n], key, body) for n in (1, 2)]
    world.started(body)
    owner.kill(signal.SIGTERM)
    owner.wait_for('event=drain_started')
    tasks.append(world.begin(world.fleet.entries[0], key, body))
    gevent.sleep(0.2)
    world.plain.faults(hold=False)
    responses = [task.get() for task in tasks]
    assert owner.popen.wait(60) == 0
    return responses


def cut(world, body, direction):
    key = world.permits(world.fleet.entries[0])[0]
    direction.silence()
    first = world.act(
        world.fleet.entries[2], key, body, 'desk', headers=FIRST_USE
    )
    direction.heal()
    later = [
        world.act(world.fleet.entries[n], key, body, 'desk') for n in (1, 2)
    ]
    return [first, *later]


@permits.register('the network to the owner is silent for a while')
def cut_there(world, body):
    return cut(world, body, world.relay.there)


@permits.register('the network from the owner is silent for a while')
def cut_back(world, body):
    return cut(world, body, world.relay.back)


@permits.register('the network to the owner is silent for good')
def cut_for_good(world, body):
    key = world.permits(world.fleet.entries[0])[0]
    world.relay.there.silence()
    responses = [
        world.act(world.fleet.entries[n], key, body, 'desk') for n in (1, 2)
    ]
    world.fleet.entries[0].kill()
    world.fleet.entries[0].popen.wait()
    return responses


@own_keys.register('all entries are alive')
def all_alive(world, body):
    return through_all(world, actions.own_key(), body)


@own_keys.register('it arrives through all entries at once')
def at_once(world, body):
    return together(world, actions.own_key(), body)


@own_keys.register('the service refuses it')
def own_refused(world, body):
    world.plain.faults(refuse=True)
    key = actions.own_key()
    first = world.act(world.fleet.entries[2], key, body)
    world.plain.faults(refuse=False)
    return [first, *through_all(world, key, body)[1:]]


def one_killed(world, body, count, headers):
    world.fleet.entries[1].kill()
    world.fleet.entries[1].popen.wait()
    key = actions.own_key()
    return [
        world.act(world.fleet.entries[n], key, body, headers=headers)
        for n in (0, 2)[:count]
    ]


@own_keys.register('another entry is killed')
def other_killed(world, body):
    return one_killed(world, body, 2, {})


@own_keys.register(
    'another entry is killed before a request marked as first use'
)
def other_killed_first(world, body):
    return one_killed(world, body, 1, FIRST_USE)


@own_keys.register('another entry is paused and resumed')
def other_paused(world, body):
    other = world.fleet.entries[1]
    key = actions.own_key()
    other.pause()
    first = world.act(world.fleet.entries[2], key, body)
    assert other.is_paused, 'the other entry was resumed by something else'
    other.kill(signal.SIGCONT)
    later = [world.act(world.fleet.entries[n], key, body) for n in (2, 1)]
    return [first, *later]


@own_keys.register('another entry is paused, which takes effect late')
def other_paused_late(world, body):
    popen = world.fleet.entries[1].popen
    send = popen.send_signal

    def send_late(number):
        gevent.spawn_later(LATE_SIGNAL_SECONDS, send, number)

    with mock.patch.object(popen, 'send_signal', send_late):
        return other_paused(world, body)


@own_keys.register('another entry is restarted after the key was made')
def other_restarted(world, body):
    key = actions.own_key(age_seconds=1.0)
    world.restart(1)
    return through_all(world, key, body)


@own_keys.register('the holder of the claim is killed after the action ran')
def holder_killed(world, body):
    holder = world.fleet.entries[1]
    key = actions.own_key()
    first = world.act(holder, key, body)
    holder.kill()
    holder.popen.wait()
    later = [world.act(world.fleet.entries[n], key, body) for n in (0, 2)]
    return [first, *later]


@own_keys.register('the holder of the claim is restarted after the action ran')
def holder_restarted(world, body):
    key = actions.own_key()
    first = world.act(world.fleet.entries[1], key, body)
    world.restart(1)
    return [first, *through_all(world, key, body)[:2]]


def cut_from_claimant(world, body, direction):
    key = actions.own_key()
    direction.silence()
    first = world.act(world.fleet.entries[2], key, body)
    direction.heal()
    later = [world.act(world.fleet.entries[n], key, body) for n in (2, 1)]
    return [first, *later]


@own_keys.register('the network to another entry is silent for a while')
def claim_cut_there(world, body):
    return cut_from_claimant(world, body, world.relay.there)


@own_keys.register('the network from another entry is silent for a while')
def claim_cut_back(world, body):
    return cut_from_claimant(world, body, world.relay.back)
