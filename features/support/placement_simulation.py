"""Simulates many instances that place generations on a few engines.

Arrivals, sizes, durations, KV cache and the half-second age of the reports
are those of the larger deployment of Los Santos.
"""

import collections
import dataclasses
import random
import types

from gevent import event

from kingcupfront_core import address
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import objects
from kingcupfront_gateway import placement
from kingcupfront_gateway import reservation
from kingcupfront_gateway import targets

MEMORY_TOKENS = 26936
REPORT_LAG_SECONDS = 0.5
POLL_SECONDS = 2.0
ARRIVALS_PER_SECOND = 33.0
# Prompt tokens, output tokens and seconds of a review and of a query.
KINDS = ((3000, 740, 6.5), (2200, 12, 0.6))
HISTORY_SECONDS = 3.0
# Prefills run in chunks between the decode steps of other requests.
PREFILL_TOKENS_PER_SECOND = 7000


@dataclasses.dataclass
class Engine:
    """An engine that records its requests and its load over time."""

    target: objects.Target
    requests: list = dataclasses.field(default_factory=list)
    history: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    # The reserved tokens of each lease and the time at which it expires.
    leases_by_name: dict = dataclasses.field(default_factory=dict)
    prefills_until: float = 0.0

    def used_tokens(self, now):
        self.requests = [
            tracked for tracked in self.requests if tracked[0] > now
        ]
        return sum(tokens for _, tokens in self.requests)

    def reserve(self, now, tokens, seconds):
        held = sum(
            n for n, until in self.leases_by_name.values() if until > now
        )
        if self.used_tokens(now) + held + tokens > MEMORY_TOKENS:
            return None
        name = f'lease-{len(self.leases_by_name)}'
        self.leases_by_name[name] = tokens, now + seconds
        return name

    def release(self, name):
        self.leases_by_name[name] = 0, 0.0

    def start(self, now, prompt, tokens, decode_seconds):
        """Start a request; return the time at which its prefill ends."""
        self.prefills_until = max(self.prefills_until, now)
        self.prefills_until += prompt / PREFILL_TOKENS_PER_SECOND
        self.requests.append((self.prefills_until + decode_seconds, tokens))
        return self.prefills_until

    def record_load(self, now):
        self.history.append((now, self.used_tokens(now), len(self.requests)))
        while self.history[0][0] < now - HISTORY_SECONDS:
            self.history.popleft()

    def report(self, now):
        used, count = 0, 0
        for at, tokens, requests in self.history:
            if at <= now - REPORT_LAG_SECONDS:
                used, count = tokens, requests
        return objects.LoadReport(count, 0, 0, used, 0, False)


class Instance:
    """The parts of a gateway that place requests, on simulated engines."""

    def __init__(self, simulation, number, has_leases):
        self.clock = types.SimpleNamespace(monotonic=lambda: simulation.now)
        self.platform = self
        self.targets = types.SimpleNamespace(
            changed=event.Event(), notify=lambda: None
        )
        self._simulation = simulation
        self.rng = random.Random(number)
        self.placement = placement.Placement(
            placement.Origin('z', 'r'), {'z': 'r'}, self.rng
        )
        self._capacity = objects.EngineCapacity(
            24, MEMORY_TOKENS, 4, True, True, 2.0 if has_leases else 0.0
        )
        self.states = [self._state(engine) for engine in simulation.engines]
        self.polled_at = self.rng.uniform(-POLL_SECONDS, 0)

    def _state(self, engine):
        service = objects.Service(engine.target.service, self._capacity)
        return targets.TargetState(engine.target, service)

    def replace(self, removed, added):
        """Replace engines that have gone by new ones."""
        ids = {engine.target.id for engine in removed}
        self.states = [s for s in self.states if s.target.id not in ids]
        self.states += [self._state(engine) for engine in added]

    def read_report(self, calls):
        return self._simulation.by_id[calls.target.id].report(
            self._simulation.now
        )

    def reserve(self, calls, tokens, seconds):
        engine = self._simulation.by_id[calls.target.id]
        return engine.reserve(self._simulation.now, tokens, seconds)

    def release(self, calls, lease):
        self._simulation.by_id[calls.target.id].release(lease)

    def place(self, number, tokens):
        """Reserve an engine as the gateway does."""
        return reservation.reserve_engine(
            self,
            lambda: self.states,
            str(number),
            tokens,
            self._simulation.now,
        )

    def place_by_polled_reports(self, tokens):
        """Choose the best of all engines by periodically polled reports."""
        now = self._simulation.now
        if now - self.polled_at >= POLL_SECONDS:
            self.polled_at = now
            for state in self.states:
                report = self._simulation.by_id[state.target.id].report(now)
                state.load.record_report(report, now)
        chosen = self.placement.choose_engine(self.states, tokens)
        return chosen and reservation.Reservation(chosen)


class PlacementSimulation:
    """Simulates a load and counts the requests sent to full engines."""

    def __init__(self, instances, engines, *, has_leases, seed):
        self.now = 0.0
        self.engines = [Engine(self._target(f'e{n}')) for n in range(engines)]
        self.by_id = {engine.target.id: engine for engine in self.engines}
        self._rng = random.Random(seed)
        self._has_leases = has_leases
        self._instances = [
            Instance(self, n, has_leases) for n in range(instances)
        ]
        self.counts = collections.Counter()

    def _target(self, name):
        to = address.Address('127.0.0.1', int(name[1:]))
        return objects.Target(name, 'engine', to, 'z', 24)

    def simulate(self, seconds):
        number = 0
        while self.now < seconds:
            self.now += self._rng.expovariate(ARRIVALS_PER_SECOND)
            for engine in self.engines:
                engine.record_load(self.now)
            number += 1
            self._place(number)
        return self.counts

    def _place(self, number):
        prompt, output, decode_seconds = self._rng.choice(KINDS)
        instance = self._rng.choice(self._instances)
        tokens = prompt + output
        if self._has_leases:
            reserved = instance.place(number, tokens)
        else:
            reserved = instance.place_by_polled_reports(tokens)
        self.counts['all'] += 1
        if reserved is None:
            self.counts['not placed'] += 1
            return
        engine = self.by_id[reserved.state.target.id]
        if engine.used_tokens(self.now) + tokens > MEMORY_TOKENS:
            self.counts['sent to full engines'] += 1
        if reserved.lease is not None:
            engine.release(reserved.lease)
        engine.requests.append((self.now + decode_seconds, tokens))
        tracked = engine_load.TrackedGeneration(prompt, output, self.now)
        reserved.state.load.generations_by_id[str(number)] = tracked
