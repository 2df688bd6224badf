"""Nine entries with real routing state before nine modelled engines."""

from collections.abc import Iterator
import dataclasses
import itertools
import random
import typing

import simpy

from kingcupfront_bench import deployment
from kingcupfront_bench import engine_model
from kingcupfront_bench import measures
from kingcupfront_bench import workload
from kingcupfront_core import address
from kingcupfront_core import outcomes
from kingcupfront_route import dispatcher
from kingcupfront_route import errors
from kingcupfront_route import job
from kingcupfront_route import ledger
from kingcupfront_route import placement
from kingcupfront_route import prefixes
from kingcupfront_route import target
from kingcupfront_route import team
from kingcupfront_route import tuning

SERVICE = 'generate'
ENTRIES_PER_PLACE = 3
ENGINES_PER_PLACE = 3
REPORT_SECONDS = 0.25
POLL_SECONDS = 0.05
CACHE_EVENT_LOSS = 0.2
CACHE_EVENT_LAG_SECONDS = 0.2
LIST_LAG_SECONDS = 2.0
MAX_TRIES = 3


@dataclasses.dataclass(frozen=True)
class Faults:
    """What goes wrong in a run; times are in seconds.

    :param flood: when one team floods.
    :param reclaim_at: when an engine is told that it is reclaimed.
    :param reclaim_notice: how long it then lives.
    :param replaced_after: how long after its end another one starts.
    :param slow: when the link of the last place is slow.
    :param slow_seconds: one-way latency added meanwhile.
    :param report_fault: ``frozen``, ``absent``, ``absurd`` or empty; what
        is wrong with the reports of the first engine.
    """

    flood: tuple[float, float] | None = (60.0, 85.0)
    reclaim_at: float | None = 100.0
    reclaim_notice: float = 10.0
    replaced_after: float = 5.0
    slow: tuple[float, float] | None = (115.0, 135.0)
    slow_seconds: float = 0.06
    report_fault: str = ''


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run.

    :param where: the deployment.
    :param policy: a name of a routing policy.
    :param load: offered load as a fraction of capacity.
    :param seed: the seed.
    :param report_lag: how late load reports are, in seconds.
    :param faults: what goes wrong.
    :param chosen: weights of the policy.
    :param seconds: length of the run.
    :param warm_up: seconds that are not measured.
    :param spec: the engines.
    """

    where: deployment.Deployment
    policy: str
    load: float
    seed: int
    report_lag: float = 0.5
    faults: Faults = Faults()
    chosen: tuning.Tuning = tuning.STALLS
    seconds: float = 150.0
    warm_up: float = 30.0
    spec: engine_model.EngineSpec = engine_model.EngineSpec()


class _Request:
    """One request on its way through an entry and an engine."""

    def __init__(
        self, fleet: 'Fleet', entry: '_Entry', arrival: workload.Arrival
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
        self._generation: engine_model.Generation | None = None

    def offer(self) -> None:
        arrival = self._arrival
        self._tries += 1
        work = job.Job(
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
            item = self._entry.dispatcher.offer(work, now, self._tried)
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
        self.record.queued = item.placed_at - item.offered_at
        self.record.crossed = item.target.place != self._entry.place
        engine = fleet.engines_by_id[item.target.id]
        latency = fleet.latency(self._entry.place, item.target.place)
        self._generation = engine_model.Generation(
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


class _Entry:
    """One entry: its dispatcher and the requests that wait in it."""

    def __init__(self, fleet: 'Fleet', place: str, seed: int) -> None:
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
        self.requests_by_placement: dict[placement.Placement, _Request] = {}

    def pump(self) -> None:
        for item in self.dispatcher.due(self._fleet.env.now):
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


class Fleet:
    """A run in virtual time.

    :param scenario: what to run.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.env = simpy.Environment()
        self.gaps = measures.Gaps()
        self.preemptions_at_start = 0
        self.engines_by_id: dict[str, engine_model.EngineModel] = {}
        self._targets: list[target.Target] = []
        self._rng = random.Random(scenario.seed)
        self._engine_numbers = itertools.count()
        self._entries_by_place = {
            place: [
                _Entry(self, place, self._rng.randrange(1 << 30))
                for _ in range(ENTRIES_PER_PLACE)
            ]
            for place in scenario.where.places
        }
        self.records: list[measures.Record] = []
        for place in scenario.where.places:
            for _ in range(ENGINES_PER_PLACE):
                self._add_engine(place)

    @property
    def entries(self) -> list[_Entry]:
        """All entries."""
        return [e for group in self._entries_by_place.values() for e in group]

    def after(
        self, seconds: float, call: typing.Callable, *args: typing.Any
    ) -> None:
        """Call a function later in virtual time."""
        event = self.env.timeout(seconds)
        event.callbacks.append(lambda _: call(*args))

    def latency(self, here: str, there: str) -> float:
        """Return the one-way latency between two places, in seconds."""
        where, faults = self.scenario.where, self.scenario.faults
        if here == there:
            return where.near_seconds
        seconds = where.far_seconds
        slow = faults.slow
        if (
            slow
            and slow[0] <= self.env.now < slow[1]
            and where.places[-1] in (here, there)
        ):
            seconds += faults.slow_seconds
        return seconds

    def run(self) -> dict[str, float]:
        """Run to the end and return the measures."""
        scenario = self.scenario
        env = self.env
        env.process(self._arrive())
        for entry in self.entries:
            env.process(entry.poll())
        if scenario.faults.reclaim_at is not None:
            env.process(self._reclaim())
        env.run(until=scenario.warm_up)
        self.preemptions_at_start = self._preemptions()
        env.run(until=scenario.seconds)
        for item in self.records:
            if item.ended_at is None and item.first_at is not None:
                item.ended_at = scenario.seconds
                item.is_done = True
        return measures.summary(
            self.records,
            self.gaps,
            self._preemptions() - self.preemptions_at_start,
            (scenario.warm_up, scenario.seconds),
            scenario.faults.flood,
            workload.FLOODING_TEAM,
        )

    def _preemptions(self) -> int:
        return sum(item.preemptions for item in self.engines_by_id.values())

    def _count_gap(self, seconds: float, count: int) -> None:
        if self.env.now >= self.scenario.warm_up:
            self.gaps.add(seconds, count)

    def _add_engine(self, place: str) -> None:
        number = next(self._engine_numbers)
        name = f'engine-{number}'
        spec = self.scenario.spec
        engine = engine_model.EngineModel(
            self.env, spec, self._count_gap, measures.STALL_SECONDS
        )
        self.engines_by_id[name] = engine
        self._targets.append(
            target.Target(
                name,
                address.Address('127.0.0.1', number + 1),
                SERVICE,
                place,
                slots=spec.slots,
                block_tokens=spec.block_tokens,
            )
        )
        self._publish()
        self.env.process(self._report(name, engine))

    def _publish(self) -> None:
        """Give each entry its own copy of the list."""
        for entry in self.entries:
            copies = [
                dataclasses.replace(item, ledger=ledger.Ledger())
                for item in self._targets
            ]
            gone = entry.dispatcher.roster.set_targets(copies)
            for key in gone:
                entry.dispatcher.context.prefixes.forget(key)

    def _arrive(self) -> Iterator[typing.Any]:
        scenario = self.scenario
        jobs = workload.Workload(
            scenario.where,
            scenario.load,
            scenario.seconds,
            scenario.seed,
            scenario.faults.flood,
        )
        for arrival in jobs.arrivals():
            yield self.env.timeout(max(0, arrival.at - self.env.now))
            place = scenario.where.places[arrival.place]
            entry = self._rng.choice(self._entries_by_place[place])
            request = _Request(self, entry, arrival)
            self.records.append(request.record)
            request.offer()

    def _report(
        self, name: str, engine: engine_model.EngineModel
    ) -> Iterator[typing.Any]:
        """Send load reports and cache events, late and with gaps."""
        yield self.env.timeout(self._rng.uniform(0, REPORT_SECONDS))
        for number in itertools.count(1):
            if not engine.is_alive:
                return
            values = self._load_values(name, engine, number)
            if values is not None:
                self.after(
                    self.scenario.report_lag, self._deliver, name, values
                )
            if engine.added or engine.removed:
                event = prefixes.CacheEvent(
                    number, tuple(engine.added), tuple(engine.removed)
                )
                engine.added, engine.removed = [], []
                lag = self.scenario.report_lag + CACHE_EVENT_LAG_SECONDS
                self.after(lag, self._deliver_event, name, event)
            yield self.env.timeout(REPORT_SECONDS)

    def _load_values(
        self, name: str, engine: engine_model.EngineModel, number: int
    ) -> dict[str, typing.Any] | None:
        fault = self.scenario.faults.report_fault
        is_faulty = name == 'engine-0' and fault
        if is_faulty and (
            fault == 'absent' or (fault == 'frozen' and number > 8)
        ):
            return None
        spec = self.scenario.spec
        free = engine.free_blocks
        if is_faulty and fault == 'absurd':
            free = 10 * spec.total_blocks
        return {
            'number': number,
            'running': engine.running,
            'waiting': engine.waiting,
            'free_blocks': free,
            'total_blocks': spec.total_blocks,
            'preemptions': engine.preemptions,
            'leaving': engine.is_leaving,
        }

    def _deliver(self, name: str, values: dict[str, typing.Any]) -> None:
        report = target.LoadReport(
            taken_at=self.env.now,
            lag_seconds=self.scenario.report_lag,
            **values,
        )
        for entry in self.entries:
            if entry.dispatcher.report(name, report):
                entry.pump()

    def _deliver_event(self, name: str, event: prefixes.CacheEvent) -> None:
        for entry in self.entries:
            if self._rng.random() >= CACHE_EVENT_LOSS:
                index = entry.dispatcher.context.prefixes
                index.apply(name, event, self.env.now)

    def _reclaim(self) -> Iterator[typing.Any]:
        faults = self.scenario.faults
        yield self.env.timeout(faults.reclaim_at)
        victim = self._targets[1]
        engine = self.engines_by_id[victim.id]
        engine.is_leaving = True
        yield self.env.timeout(LIST_LAG_SECONDS)
        self._targets[1] = dataclasses.replace(victim, leaving=True)
        self._publish()
        yield self.env.timeout(faults.reclaim_notice - LIST_LAG_SECONDS)
        engine.die()
        del self._targets[1]
        self._publish()
        yield self.env.timeout(faults.replaced_after)
        self._add_engine(victim.place)


def with_report_fault(faults: Faults, name: str) -> Faults:
    """Return faults with a fault of the first engine's reports added.

    :param faults: what else goes wrong.
    :param name: ``frozen``, ``absent``, ``absurd`` or empty.
    """
    return dataclasses.replace(faults, report_fault=name)
