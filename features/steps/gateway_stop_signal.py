"""Steps for signals to stop that arrive while the event loop is busy."""

import os
import signal
import time

import behave
import gevent

from kingcupfront_core import stop_signal
from kingcupfront_gateway import clocks
from kingcupfront_gateway import draining

BUSY_SECONDS = 0.4


@behave.given('a process that handles the signals to stop')
def handles_signals(context):
    context.stop = context.stack.enter_context(
        stop_signal.handled(clocks.BOOT)
    )


def _compute(seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


@behave.when('a signal to stop arrives while a task computes')
def signal_while_busy(context):
    def busy():
        _compute(BUSY_SECONDS)
        os.kill(os.getpid(), signal.SIGTERM)
        _compute(BUSY_SECONDS)
        context.task_ended_at = clocks.BOOT.monotonic()

    gevent.spawn(busy)
    context.stop.wait()


@behave.when('another signal to stop arrives')
def another_signal(context):
    os.kill(os.getpid(), signal.SIGTERM)
    gevent.sleep(0)


@behave.then('the signal is known to have arrived before the task has ended')
def arrived_before(context):
    assert context.stop.is_set
    assert context.stop.arrived_at < context.task_ended_at


@behave.when('the gateway acts {late:g} seconds late on the signal to stop')
def acts_late(context, late):
    context.signalled_at = clocks.BOOT.monotonic() - late
    context.draining = gevent.spawn(
        draining.drain, context.site.gateway, context.signalled_at
    )
    gevent.sleep(0)


@behave.when('a task computes for {seconds:g} seconds at a time')
def busy_task(context, seconds):
    def compute():
        while True:
            _compute(seconds)
            gevent.sleep(0.001)

    context.stack.callback(gevent.spawn(compute).kill)


@behave.then('no more than {grace:d} seconds have passed since the signal')
def in_grace(context, grace):
    assert clocks.BOOT.monotonic() < context.signalled_at + grace
