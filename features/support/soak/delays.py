"""Delays of the soak itself, which excuse what is late or cut."""

import contextlib
from unittest import mock

import gevent

from features.support.soak import records
from features.support.soak import world


@contextlib.contextmanager
def delayed(at):
    """Delay each soak that begins meanwhile.

    :param at: seconds from when its gateways run.
    """
    sound = world.World.run_gateways

    def run_delayed(site):
        sound(site)
        gevent.spawn_later(at, _hold_up, 2 * world.LAG_SECONDS)

    with mock.patch.object(world.World, 'run_gateways', run_delayed):
        yield


def _hold_up(seconds):
    """Let nothing else of the soak run."""
    end = records.now() + seconds
    while records.now() < end:
        pass
