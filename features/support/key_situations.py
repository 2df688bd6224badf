"""Keys that must not be used, by name; each returns the response."""

import gevent

from features.support import actions
from kingcupfront_core import registry
from kingcupfront_once import caller_key

keys = registry.Registry('bad key')
SHORT_LIFETIME_SECONDS = 0.05


def present(world, key, body, **options):
    return world.act(world.fleet.entries[2], key, body, **options)


def permit(world, **order):
    return world.permits(world.fleet.entries[1], **order)[0]


@keys.register('forged')
def forged(world, body):
    return present(world, 'kcf1.eyJpZCI6IjEifQ.AAAA', body)


@keys.register('altered')
def altered(world, body):
    key = permit(world)
    middle = len(key) // 2
    letter = 'A' if key[middle] != 'A' else 'B'
    return present(world, key[:middle] + letter + key[middle + 1 :], body)


@keys.register('of another team')
def other_team(world, body):
    other = {'Authorization': f'Bearer {actions.OTHER_KEY}'}
    return present(world, permit(world), body, headers=other)


@keys.register('expired just now')
def expired(world, body):
    key = permit(world, lifetime_seconds=SHORT_LIFETIME_SECONDS)
    gevent.sleep(2 * SHORT_LIFETIME_SECONDS)
    return present(world, key, body)


def used(world):
    key = permit(world)
    first = present(world, key, world.body())
    assert actions.outcome(first) == 'done', first.data
    return key


@keys.register('used with another body')
def other_body(world, body):
    return present(world, used(world), body)


def same_body(world, body, **options):
    key = permit(world)
    # The service refuses, so the key is bound to the call but none ran.
    world.plain.faults(refuse=True)
    present(world, key, body)
    world.plain.faults(refuse=False)
    return present(world, key, body, **options)


@keys.register('used with another method')
def other_method(world, body):
    return same_body(world, body, method='PUT')


@keys.register('used with another path')
def other_path(world, body):
    return same_body(world, body, path='lots/7')


@keys.register('for another service')
def other_service(world, body):
    return present(world, permit(world, service='desk'), body)


@keys.register("the caller's, without a time")
def no_time(world, body):
    return present(world, 'b9f1c6de-7d4a-4f0e-9a53-1c1f2c3d4e5f', body)


@keys.register("the caller's, made in the future")
def future(world, body):
    return present(world, actions.own_key(age_seconds=-3600), body)


@keys.register("the caller's, too old")
def too_old(world, body):
    age = caller_key.LIFETIME_SECONDS + 60
    return present(world, actions.own_key(age_seconds=age), body)


@keys.register("the caller's, used with another body")
def own_other_body(world, body):
    key = actions.own_key()
    first = present(world, key, world.body())
    assert actions.outcome(first) == 'done', first.data
    return present(world, key, body)
