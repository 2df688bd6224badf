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

# Some engines are replaced at the same time, at this interval.
REPLACEMENT_INTERVAL_SECONDS = 3.3
REPLACED_ENGINES = 4
# How long a request waits for an engine, and how often it tries again.
MAX_WAIT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.1


class _NotPlacedError(Exception):
    """A request found no engine and tries again later."""


class _RaisingEvent:
    """Stands in for the event that ends a wait; it raises instead."""

    def wait(self, seconds):
        raise _NotPlacedError


class ReplacementSimulation(placement_simulation.PlacementSimulation):
    """Simulates a load while engines are replaced.

    :param has_prefill_leases: whether instances acquire prefill leases.
    """

    def __init__(self, instances, engines, *, has_prefill_leases, seed):
        super().__init__(instances, engines, has_leases=True, seed=seed)
        self._has_prefill_leases = has_prefill_leases
        self._ids = itertools.count(engines)
        self._queue = []
        self._sequence = itertools.count()
        self.first_event_delays = []
        for instance in self._instances:
            instance.targets.changed = _RaisingEvent()

    def simulate(self, seconds):
        """Return the delays of the first events, in ascending order."""
        at = 0.0
        while at < seconds:
            at += self._rng.expovariate(
                placement_simulation.ARRIVALS_PER_SECOND
            )
            self._schedule(
                at,
                self._arrive,
                at,
                self._rng.choice(placement_simulation.KINDS),
            )
        for n in range(1, int(seconds / REPLACEMENT_INTERVAL_SECONDS)):
            self._schedule(
                n * REPLACEMENT_INTERVAL_SECONDS, self._replace_engines
            )
        needs_lease = (
            prefill_limit.needs_lease
            if self._has_prefill_leases
            else lambda *_: False
        )
        with mock.patch.object(prefill_limit, 'needs_lease', needs_lease):
            while self._queue:
                self.now, _, action, arguments = heapq.heappop(self._queue)
                for engine in self.engines:
                    engine.record_load(self.now)
                action(*arguments)
        return sorted(self.first_event_delays)

    def _schedule(self, at, action, *arguments):
        sequence_number = next(self._sequence)
        heapq.heappush(self._queue, (at, sequence_number, action, arguments))

    def _arrive(self, at, kind):
        self._try_to_place(self._rng.choice(self._instances), at, kind)

    def _try_to_place(self, instance, arrived_at, kind):
        prompt, output, decode_seconds = kind
        until = arrived_at + MAX_WAIT_SECONDS
        try:
            reserved = reservation.reserve_engine(
                instance, lambda: instance.states, '', prompt + output, until
            )
        except _NotPlacedError:
            retry_at = self.now + RETRY_INTERVAL_SECONDS
            self._schedule(
                retry_at, self._try_to_place, instance, arrived_at, kind
            )
            return
        if reserved is None:
            self.counts['refused'] += 1
            return
        engine = self.by_id[reserved.state.target.id]
        engine.release(reserved.lease)
        prefilled_at = engine.start(
            self.now, prompt, prompt + output, decode_seconds
        )
        self.first_event_delays.append(prefilled_at - arrived_at)
        if reserved.prefill_lease is not None:
            self._schedule(prefilled_at, self._release, reserved.prefill_lease)

    def _release(self, prefill_lease):
        prefill_lease.release()
        gevent.sleep(0)

    def _replace_engines(self):
        removed = self._rng.sample(self.engines, REPLACED_ENGINES)
        added = [
            placement_simulation.Engine(self._target(f'e{next(self._ids)}'))
            for _ in range(REPLACED_ENGINES)
        ]
        self.engines = [e for e in self.engines if e not in removed] + added
        self.by_id |= {engine.target.id: engine for engine in added}
        for instance in self._instances:
            instance.replace(removed, added)
