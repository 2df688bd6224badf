"""Simulates instances that place drafts and checks on crowded engines."""

import collections

from features.support import placement_simulation
from kingcupfront_decisions import crowding
from kingcupfront_decisions import urgency
from kingcupfront_decisions import waiting_list
from kingcupfront_gateway import reservation

# Rank, prompt tokens, output tokens, seconds, objective and deadline.
DRAFT = ((0, 2), 3000, 740, 6.5, 4.0, 39.0)
CHECK = ((0, 0), 2200, 12, 0.6, 1.5, 6.0)
CHECK_SHARE = 0.45
# The drafts that an engine runs at once, less some room for checks.
DRAFTS_PER_ENGINE = 5.5
DRAFT_SECONDS = 7.0


class RankedInstance(placement_simulation.Instance):
    """An instance that knows the ranks of its requests."""

    def __init__(self, simulation, number):
        super().__init__(simulation, number, has_leases=True)
        self.demand = urgency.Demand()
        self.crowding = crowding.Crowding()
        self.waiting = waiting_list.WaitingLists()

    def place_ranked(self, number, kind):
        (team, route), prompt, output, _, objective, deadline = kind
        now = self._simulation.now
        rank = urgency.Rank(team, route)
        self.demand.record('engine', rank, prompt + output, now)
        terms = reservation.Terms(
            'engine',
            urgency.Urgency(
                rank, now + objective, now + deadline, objective, now
            ),
        )
        return reservation.reserve_engine(
            self, lambda: self.states, str(number), prompt + output, now, terms
        )


class UrgencySimulation(placement_simulation.PlacementSimulation):
    """Simulates a load, with ranks or without, and counts refusals by kind."""

    def __init__(self, instances, engines, load, *, has_ranks, seed):
        super().__init__(instances, engines, has_leases=True, seed=seed)
        self._has_ranks = has_ranks
        if has_ranks:
            self._instances = [
                RankedInstance(self, n) for n in range(instances)
            ]
        drafts_per_second = load * engines * DRAFTS_PER_ENGINE / DRAFT_SECONDS
        self._arrivals = drafts_per_second / (1 - CHECK_SHARE)
        self.placed = collections.Counter()
        self.asked = collections.Counter()

    def simulate(self, seconds):
        number = 0
        while self.now < seconds:
            self.now += self._rng.expovariate(self._arrivals)
            for engine in self.engines:
                engine.record_load(self.now)
            number += 1
            self._place(number)

    def refused_share(self, name):
        return 1 - self.placed[name] / self.asked[name]

    def _place(self, number):
        name = 'check' if self._rng.random() < CHECK_SHARE else 'draft'
        kind = CHECK if name == 'check' else DRAFT
        _, prompt, output, seconds, _, _ = kind
        instance = self._rng.choice(self._instances)
        self.asked[name] += 1
        if self._has_ranks:
            reserved = instance.place_ranked(number, kind)
        else:
            reserved = instance.place(number, prompt + output)
        if reserved is None:
            return
        self.placed[name] += 1
        engine = self.by_id[reserved.state.target.id]
        engine.release(reserved.lease)
        if reserved.prefill_lease is not None:
            engine.release(reserved.prefill_lease._lease)
        engine.requests.append((self.now + seconds, prompt + output))
