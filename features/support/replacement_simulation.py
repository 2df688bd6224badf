"""Simulates instances that place generations while engines are replaced.

The load is that of :mod:`placement_simulation`. Requests without a place ask
again, and each engine runs its prefills one after the other.
"""

import heapq
import itertools
from unittest import mock

import gevent

from features.support import placement_simulation
from kingcupfront_gateway import prefill_limit
from kingcupfront_gateway import reservation

# A part of the engines is replaced at once, again and again.
RECLAIM_SECONDS = 3.3
RECLAIMED = 4
# How long a request waits for a place, and how often it asks.
PATIENCE_SECONDS = 1.0
RETRY_SECONDS = 0.1


class _WaitsError(Exception):
    """A request found no place and asks again later."""


class _Waiting:
    """Stands for the event that ends a wait."""

    def wait(self, seconds):
        raise _WaitsError


class ReplacementSimulation(placement_simulation.PlacementSimulation):
    """Plays a load while engines are replaced; all that waits asks again.

    :param has_turns: whether instances take turns to read prompts.
    """

    def __init__(self, instances, engines, *, has_turns, seed):
        super().__init__(instances, engines, has_leases=True, seed=seed)
        self._has_turns = has_turns
        self._ids = itertools.count(engines)
        self._queue = []
        self._orders = itertools.count()
        self.first_event_delays = []
        for instance in self._instances:
            instance.targets.changed = _Waiting()

    def play(self, seconds):
        """Return the delays of first events, in order."""
        at = 0.0
        while at < seconds:
            at += self._rng.expovariate(
                placement_simulation.ARRIVALS_PER_SECOND
            )
            self._plan(
                at,
                self._arrive,
                at,
                self._rng.choice(placement_simulation.KINDS),
            )
        for n in range(1, int(seconds / RECLAIM_SECONDS)):
            self._plan(n * RECLAIM_SECONDS, self._reclaim)
        needs = (
            prefill_limit.needs_lease if self._has_turns else lambda *_: False
        )
        with mock.patch.object(prefill_limit, 'needs_lease', needs):
            while self._queue:
                self.now, _, act, arguments = heapq.heappop(self._queue)
                for engine in self.engines:
                    engine.note(self.now)
                act(*arguments)
        return sorted(self.first_event_delays)

    def _plan(self, at, act, *arguments):
        order = next(self._orders)
        heapq.heappush(self._queue, (at, order, act, arguments))

    def _arrive(self, at, kind):
        self._try(self._rng.choice(self._instances), at, kind)

    def _try(self, instance, arrived_at, kind):
        prompt, output, lasts = kind
        until = arrived_at + PATIENCE_SECONDS
        try:
            reserved = reservation.reserve_engine(
                instance, lambda: instance.states, '', prompt + output, until
            )
        except _WaitsError:
            again = self.now + RETRY_SECONDS
            self._plan(again, self._try, instance, arrived_at, kind)
            return
        if reserved is None:
            self.counts['refused'] += 1
            return
        engine = self.by_id[reserved.state.target.id]
        engine.release(reserved.lease)
        read_at = engine.run(self.now, prompt, prompt + output, lasts)
        self.first_event_delays.append(read_at - arrived_at)
        if reserved.prefill_lease is not None:
            self._plan(read_at, self._end, reserved.prefill_lease)

    def _end(self, prefill_lease):
        prefill_lease.release()
        gevent.sleep(0)

    def _reclaim(self):
        gone = self._rng.sample(self.engines, RECLAIMED)
        new = [
            placement_simulation.Engine(self._target(f'e{next(self._ids)}'))
            for _ in range(RECLAIMED)
        ]
        self.engines = [e for e in self.engines if e not in gone] + new
        self.by_id |= {engine.target.id: engine for engine in new}
        for instance in self._instances:
            instance.replace(gone, new)
