"""Steps for the soak of real gateway processes."""

import contextlib
import fcntl
import os
import random
from unittest import mock

import behave
import gevent

from features.support.soak import delays
from features.support.soak import load
from features.support.soak import planted
from features.support.soak import runs
from features.support.soak import world

PLANTED_SIZE = {
    'gateways': 2,
    'engines': 4,
    'callers': 16,
    'faults': 0,
    'leaving_part': 0.2,
}
SEED = 3


@behave.when(
    '{gateways:d} gateways are soaked for {seconds:d} seconds with '
    '{faults:d} faults of seed {seed:d}'
)
def soak(context, gateways, seconds, faults, seed):
    size = runs.Size(seconds=seconds, gateways=gateways, faults=faults)
    context.verdict = runs.run(seed, size)


@behave.then('no promise was broken')
def held(context):
    assert not context.verdict.violations, context.verdict


@behave.when(
    'a gateway with the planted fault "{fault}" is soaked for {seconds:d} '
    'seconds'
)
def soak_planted(context, fault, seconds):
    context.verdict = runs.run(
        SEED,
        runs.Size(seconds=seconds, **PLANTED_SIZE),
        program=planted.program(fault),
        plan=planted.plan(fault, seconds),
        occasion=planted.occasion(fault),
    )


@behave.when(
    'a gateway with the planted fault "{fault}", {late:d} seconds late, is '
    'soaked for {seconds:d} seconds'
)
def soak_planted_late(context, fault, late, seconds):
    sound = world.World.run_gateways

    def run_late(site):
        sound(site)
        gevent.sleep(late)

    with mock.patch.object(world.World, 'run_gateways', run_late):
        soak_planted(context, fault, seconds)


@behave.when(
    'a gateway with the planted fault "{fault}" is soaked for {seconds:d} '
    'seconds and the soak is delayed at second {at:d}'
)
def soak_planted_delayed(context, fault, seconds, at):
    with delays.delayed(at):
        soak_planted(context, fault, seconds)


@behave.then('the promise "{promise}" was broken')
def broken(context, promise):
    assert promise in context.verdict.violations, context.verdict


@behave.when(
    '1 gateway whose log nobody reads is soaked for {seconds:d} seconds'
)
def soak_unread(context, seconds):
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)
    context.reader = reader
    with contextlib.ExitStack() as stack:
        site = world.World(stack, gateway_count=1, engine_count=3)
        site.gateways[0].output = os.fdopen(writer, 'wb')
        site.run_gateways()
        callers = load.Callers(site, random.Random(SEED), 0.0)
        tasks = callers.start(PLANTED_SIZE['callers'])
        gevent.sleep(seconds)
        context.verdict = runs.finish(site, callers, tasks, SEED, [], [])
        context.errors = site.gateways[0].tail()


@behave.then('its log went to standard output')
def on_output(context):
    fcntl.fcntl(context.reader, fcntl.F_SETFL, os.O_NONBLOCK)
    text = os.read(context.reader, 65536).decode()
    assert 'event=gateway_started' in text, text[:500]
    assert 'event=request_ended' in text, text[:500]
    assert not context.errors, context.errors
