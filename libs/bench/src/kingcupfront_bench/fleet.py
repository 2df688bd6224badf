"""Nine entries with real routing state before nine modelled engines."""

from collections.abc import Iterator
import dataclasses
import itertools
import random
import typing

import simpy

from kingcupfront_bench import engine_model
from kingcupfront_bench import fleet_entry
from kingcupfront_bench import measures
from kingcupfront_bench import scenario as scenarios
from kingcupfront_bench import workload
from kingcupfront_core import address
from kingcupfront_route import ledger
from kingcupfront_route import prefix_index
from kingcupfront_route import target

ENGINES_PER_PLACE = 3
REPORT_SECONDS = 0.25
CACHE_EVENT_LOSS = 0.2
CACHE_EVENT_LAG_SECONDS = 0.2
LIST_LAG_SECONDS = 2.0


class Fleet:
    """A run in virtual time.

    :param scenario: what to run.
    """

    def __init__(self, scenario: scenarios.Scenario) -> None:
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
                fleet_entry.Entry(self, place, self._rng.randrange(1 << 30))
                for _ in range(fleet_entry.ENTRIES_PER_PLACE)
            ]
            for place in scenario.where.places
        }
        self.records: list[measures.Record] = []
        for place in scenario.where.places:
            for _ in range(ENGINES_PER_PLACE):
                self._add_engine(place)

    @property
    def entries(self) -> list[fleet_entry.Entry]:
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
                fleet_entry.SERVICE,
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
            gone = entry.dispatcher.target_registry.set_targets(copies)
            for key in gone:
                entry.dispatcher.context.prefixes.remove_target(key)

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
            request = fleet_entry.Request(self, entry, arrival)
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
            added, removed = engine.cache.changes()
            if added or removed:
                event = prefix_index.CacheEvent(number, added, removed)
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
            if entry.dispatcher.observe_report(name, report):
                entry.pump()

    def _deliver_event(
        self, name: str, event: prefix_index.CacheEvent
    ) -> None:
        for entry in self.entries:
            if self._rng.random() >= CACHE_EVENT_LOSS:
                index = entry.dispatcher.context.prefixes
                index.apply_event(name, event, self.env.now)

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
