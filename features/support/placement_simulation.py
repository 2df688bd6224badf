"""Many instances that place generations on few engines: a small model.

The load is that of the larger deployment of Los Santos: arrivals, sizes,
durations, engine memory, and reports that are half a second old.
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

MEMORY = 26936
REPORT_LAG_SECONDS = 0.5
POLL_SECONDS = 2.0
ARRIVALS_PER_SECOND = 33.0
# Prompt, output and seconds of a review and of a query.
KINDS = ((3000, 740, 6.5), (2200, 12, 0.6))
KEPT_SECONDS = 3.0
# Prompts are read in chunks between the tokens of others.
READ_TOKENS_PER_SECOND = 7000


@dataclasses.dataclass
class Engine:
    """Keeps what was sent to it, and what it reported when."""

    target: objects.Target
    runs: list = dataclasses.field(default_factory=list)
    history: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    # The tokens that are reserved and until when.
    leases_by_name: dict = dataclasses.field(default_factory=dict)
    reads_until: float = 0.0

    def used(self, now):
        self.runs = [run for run in self.runs if run[0] > now]
        return sum(tokens for _, tokens in self.runs)

    def reserve(self, now, tokens, seconds):
        held = sum(
            n for n, until in self.leases_by_name.values() if until > now
        )
        if self.used(now) + held + tokens > MEMORY:
            return None
        name = f'lease-{len(self.leases_by_name)}'
        self.leases_by_name[name] = tokens, now + seconds
        return name

    def release(self, name):
        self.leases_by_name[name] = 0, 0.0

    def run(self, now, prompt, tokens, lasts):
        """Start a run; return when its prompt is read."""
        self.reads_until = max(self.reads_until, now)
        self.reads_until += prompt / READ_TOKENS_PER_SECOND
        self.runs.append((self.reads_until + lasts, tokens))
        return self.reads_until

    def note(self, now):
        self.history.append((now, self.used(now), len(self.runs)))
        while self.history[0][0] < now - KEPT_SECONDS:
            self.history.popleft()

    def report(self, now):
        used, count = 0, 0
        for at, tokens, runs in self.history:
            if at <= now - REPORT_LAG_SECONDS:
                used, count = tokens, runs
        return objects.LoadReport(count, 0, 0, used, 0, False)


class Instance:
    """One gateway's part in the choice, on the model's engines."""

    def __init__(self, crowd, number, has_leases):
        self.clock = types.SimpleNamespace(monotonic=lambda: crowd.now)
        self.platform = self
        self.targets = types.SimpleNamespace(
            changed=event.Event(), notify=lambda: None
        )
        self._crowd = crowd
        self.rng = random.Random(number)
        self.placement = placement.Placement(
            placement.Origin('z', 'r'), {'z': 'r'}, self.rng
        )
        self._capacity = objects.EngineCapacity(
            24, MEMORY, 4, True, True, 2.0 if has_leases else 0.0
        )
        self.states = [self._state(engine) for engine in crowd.engines]
        self.polled_at = self.rng.uniform(-POLL_SECONDS, 0)

    def _state(self, engine):
        return targets.TargetState(engine.target, self._capacity)

    def replace(self, gone, new):
        """Take in that engines are gone and others have started."""
        ids = {engine.target.id for engine in gone}
        self.states = [s for s in self.states if s.target.id not in ids]
        self.states += [self._state(engine) for engine in new]

    def read_report(self, calls):
        return self._crowd.by_id[calls.target.id].report(self._crowd.now)

    def reserve(self, calls, tokens, seconds):
        engine = self._crowd.by_id[calls.target.id]
        return engine.reserve(self._crowd.now, tokens, seconds)

    def release(self, calls, lease):
        self._crowd.by_id[calls.target.id].release(lease)

    def place(self, number, tokens):
        """Choose as the gateway does."""
        return reservation.reserve_engine(
            self, lambda: self.states, str(number), tokens, self._crowd.now
        )

    def place_by_polls(self, tokens):
        """Choose the best of all by reports that are read in turns."""
        now = self._crowd.now
        if now - self.polled_at >= POLL_SECONDS:
            self.polled_at = now
            for state in self.states:
                report = self._crowd.by_id[state.target.id].report(now)
                state.load.record_report(report, now)
        found = self.placement.choose_engine(self.states, tokens)
        return found and reservation.Reservation(found)


class PlacementSimulation:
    """Plays a load and counts what was sent to engines without room."""

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

    def play(self, seconds):
        number = 0
        while self.now < seconds:
            self.now += self._rng.expovariate(ARRIVALS_PER_SECOND)
            for engine in self.engines:
                engine.note(self.now)
            number += 1
            self._place(number)
        return self.counts

    def _place(self, number):
        prompt, output, lasts = self._rng.choice(KINDS)
        instance = self._rng.choice(self._instances)
        tokens = prompt + output
        if self._has_leases:
            reserved = instance.place(number, tokens)
        else:
            reserved = instance.place_by_polls(tokens)
        self.counts['all'] += 1
        if reserved is None:
            self.counts['without a place'] += 1
            return
        engine = self.by_id[reserved.state.target.id]
        if engine.used(self.now) + tokens > MEMORY:
            self.counts['sent without room'] += 1
        if reserved.lease is not None:
            engine.release(reserved.lease)
        engine.runs.append((self.now + lasts, tokens))
        run = engine_load.TrackedGeneration(prompt, output, self.now)
        reserved.state.load.generations_by_id[str(number)] = run
