"""An entry of the modelled fleet, with real routing state."""

from collections.abc import Callable
from collections.abc import Iterator
import random
import typing

import simpy

from kingcupfront_bench import engine_model
from kingcupfront_bench import generation
from kingcupfront_bench import measures
from kingcupfront_bench import scenario as scenarios
from kingcupfront_bench import workload
from kingcupfront_core import outcomes
from kingcupfront_route import dispatcher
from kingcupfront_route import errors
from kingcupfront_route import placement
from kingcupfront_route import routing_request
from kingcupfront_route import team

SERVICE = 'generate'
ENTRIES_PER_PLACE = 3
POLL_SECONDS = 0.05
MAX_TRIES = 3


class Fleet(typing.Protocol):
    """What an entry needs of the fleet around it."""

    env: simpy.Environment
    scenario: scenarios.Scenario
    engines_by_id: dict[str, engine_model.EngineModel]

    def after(self, seconds: float, call: Callable, *args: typing.Any) -> None:
        """Call a function later in virtual time."""

    def latency(self, here: str, there: str) -> float:
        """Return the one-way latency between two places, in seconds."""


class Request:
    """One request on its way through an entry and an engine."""

    def __init__(
        self, fleet: Fleet, entry: 'Entry', arrival: workload.Arrival
    ) -> None:
        self._fleet = fleet
        self._entry = entry
        self._arrival = arrival
        self._tried: frozenset[str] = frozenset()
        self._tries = 0
        self.record = measures.Record(
            arrival.at,
            arrival.team,
            arrival.deadline,
            arrival.prompt_tokens,
            arrival.output_tokens,
        )
        self._item: placement.Placement | None = None
        self._generation: generation.Generation | None = None

    def offer(self) -> None:
        arrival = self._arrival
        self._tries += 1
        work = routing_request.RoutingRequest(
            str(id(self)),
            arrival.team,
            SERVICE,
            self._entry.place,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.bound,
            deadline=arrival.at + arrival.deadline,
            prefix=arrival.prefix,
            prefix_block_tokens=workload.PREFIX_TOKENS,
        )
        now = self._fleet.env.now
        try:
            item = self._entry.dispatcher.submit(work, now, self._tried)
        except errors.RoutingError:
            self.record.is_refused = True
            return
        if item.target is not None:
            self.start(item)
        else:
            self._entry.requests_by_placement[item] = self

    def refuse(self) -> None:
        self.record.is_refused = True

    def start(self, item: placement.Placement) -> None:
        fleet = self._fleet
        self._item = item
        self.record.queued = item.placed_at - item.submitted_at
        self.record.crossed = item.target.place != self._entry.place
        engine = fleet.engines_by_id[item.target.id]
        latency = fleet.latency(self._entry.place, item.target.place)
        self._generation = generation.Generation(
            self._arrival.prompt_tokens,
            self._arrival.output_tokens,
            0,
            self._arrival.prefix,
            on_end=lambda whole: fleet.after(latency, self._end, whole),
            on_token=lambda at: self._first(at + latency),
        )
        fleet.after(latency, engine.submit, self._generation)

    def _first(self, at: float) -> None:
        if self.record.first_at is None:
            self.record.first_at = at

    def _end(self, whole: bool) -> None:
        item, record = self._item, self.record
        now = self._fleet.env.now
        has_begun = record.first_at is not None
        if whole:
            item.tokens = record.output_tokens
            item.outcome = outcomes.Outcome.DONE
        else:
            item.outcome = outcomes.Outcome.LOST
        self._entry.dispatcher.release(item, now)
        self._entry.pump()
        if not whole and not has_begun and self._tries < MAX_TRIES:
            self._tried = self._tried | {item.target.id}
            self.offer()
            return
        record.ended_at = now
        record.is_done = whole
        record.stalled = self._generation.stalled
        record.longest_gap = self._generation.longest_gap


class Entry:
    """One entry: its dispatcher and the requests that wait in it."""

    def __init__(self, fleet: Fleet, place: str, seed: int) -> None:
        scenario = fleet.scenario
        self.place = place
        self._fleet = fleet
        self.dispatcher = dispatcher.Dispatcher(
            scenario.policy,
            rng=random.Random(seed),
            entries=ENTRIES_PER_PLACE * len(scenario.where.places),
        )
        self.dispatcher.context.tuning = scenario.chosen
        self.dispatcher.limits.set_teams(
            [
                team.Team(f'team-{index}', weight=share)
                for index, share in enumerate(workload.TEAM_SHARES)
            ]
        )
        self.requests_by_placement: dict[placement.Placement, Request] = {}

    def pump(self) -> None:
        for item in self.dispatcher.dispatch_queued(self._fleet.env.now):
            request = self.requests_by_placement.pop(item)
            if item.target is not None:
                request.start(item)
            else:
                request.refuse()

    def poll(self) -> Iterator[typing.Any]:
        while True:
            yield self._fleet.env.timeout(POLL_SECONDS)
            if self.requests_by_placement:
                self.pump()
