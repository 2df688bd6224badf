"""Chooses the target of a request.

Load patterns: targets of one service differ in load, some fail part of their
requests, and some leave. Requests stay in the near data centres unless the
targets there are busier.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from kingcupfront_decisions import reserve
from kingcupfront_gateway import objects
from kingcupfront_gateway import targets

# Scores are in units of one busy slot; the lowest score is chosen.
OTHER_ZONE_SCORE = 0.1
OTHER_REGION_SCORE = 0.5
WARMING_UP_SCORE = 0.5
# Copies queue on the links of engines, so a random part of the score keeps
# instances from all choosing the emptiest engine at once.
COPY_SPREAD_SCORE = 3.0
FAILURE_SCORE = 12.0
# Reports are delayed, so an engine that has just started looks empty to all
# instances for a while. Without this random part it would get all their
# prompts at once.
ENGINE_SPREAD_SCORE = 1.0
FULL_MEMORY_SCORE = 8
# Two random choices keep the fullest engine close to the mean (Mitzenmacher,
# 2001). A larger sample sends more to engines whose reports are out of date.
SAMPLE_SIZE = 2
# The fraction of an engine's KV cache that is filled before requests wait.
MAX_MEMORY_FRACTION = 0.92
# Backups leave room for migrations from engines that leave.
MAX_COPY_MEMORY_FRACTION = 0.35


@dataclasses.dataclass(frozen=True)
class Origin:
    """The data centre and region of an instance."""

    zone: str
    region: str


class Placement:
    """Ranks targets by distance, load and recent failures.

    :param origin: the location of this instance.
    :param regions_by_zone: the region of each zone.
    :param rng: breaks ties.
    """

    def __init__(
        self,
        origin: Origin,
        regions_by_zone: dict[str, str],
        rng: random.Random,
    ) -> None:
        self._origin = origin
        self._regions_by_zone = regions_by_zone
        self._rng = rng

    def choose_plain_target(
        self, states: Iterable[targets.TargetState]
    ) -> targets.TargetState | None:
        """Return a target that is not an engine, or None if all are full."""
        available = [
            state for state in states if state.in_flight < state.target.slots
        ]
        return self._lowest_scored(available, self._plain_score)

    def sample_engines(
        self, states: list[targets.TargetState]
    ) -> list[targets.TargetState]:
        """Return a few random engines to ask for their load.

        If all instances asked the engine that seems best, they would all
        choose it.
        """
        count = min(SAMPLE_SIZE, len(states))
        return self._rng.sample(states, count)

    def choose_engine(
        self,
        states: Iterable[targets.TargetState],
        tokens: int,
        room_left: Callable[[targets.TargetState], reserve.Room] = lambda _: (
            reserve.NONE
        ),
    ) -> targets.TargetState | None:
        """Return the engine for a generation, or None if all are full.

        :param tokens: the KV cache that the generation will need.
        :param room_left: returns the room that it leaves to more urgent ones
            on an engine.
        """
        available = [
            s
            for s in states
            if has_room(s, tokens, MAX_MEMORY_FRACTION, room_left(s))
        ]
        return self._lowest_scored(available, self._engine_score)

    def choose_backup_engine(
        self,
        states: Iterable[targets.TargetState],
        tokens: int,
        source: objects.Target,
    ) -> targets.TargetState | None:
        """Return the engine that is to keep a backup, or None if all are full.

        :param tokens: the KV cache that the generation will need.

        :param source: the engine that runs the generation.
        """
        available = [
            s for s in states if has_room(s, tokens, MAX_COPY_MEMORY_FRACTION)
        ]
        near = self.engines_near(available, source)
        ranked = self.rank_copy_destinations(near or available, tokens, source)
        return ranked[0] if ranked else None

    def rank_copy_destinations(
        self,
        states: Iterable[targets.TargetState],
        tokens: int,
        source: objects.Target,
    ) -> list[targets.TargetState]:
        """Return the engines to which a KV cache may be copied, best first.

        Copies within a data centre take half as long as those to another one
        of the region, so the latter come next. Copies to other regions take
        seconds and delay all copies queued behind them, so they are made only
        if no engine of the region is given. Load reports are delayed, so
        engines that seem full are not left out but come last.
        """

        def key(state: targets.TargetState) -> tuple[bool, bool, float]:
            return (
                not has_room(state, tokens, MAX_MEMORY_FRACTION),
                state.target.zone != source.zone,
                self._copy_score(state)
                + self._rng.uniform(0, COPY_SPREAD_SCORE),
            )

        states = list(states)
        in_region = self.engines_in_region(states, source)
        return sorted(in_region or states, key=key)

    def engines_in_region(
        self, states: Iterable[targets.TargetState], source: objects.Target
    ) -> list[targets.TargetState]:
        """Return the other engines in the region of the source.

        If the region of its data centre is not known, those of the data
        centre.
        """
        region = self._regions_by_zone.get(source.zone)
        if region is None:
            return self.engines_near(states, source)
        return [
            state
            for state in states
            if self._regions_by_zone.get(state.target.zone) == region
            and state.target.id != source.id
        ]

    def engines_near(
        self, states: Iterable[targets.TargetState], source: objects.Target
    ) -> list[targets.TargetState]:
        """Return the other engines in the data centre of the source."""
        return [
            state
            for state in states
            if state.target.zone == source.zone
            and state.target.id != source.id
        ]

    def _lowest_scored(self, states: list, score: object) -> object:
        if not states:
            return None
        return min(states, key=lambda s: (score(s), self._rng.random()))

    def _distance(self, target: objects.Target) -> float:
        if target.zone == self._origin.zone:
            return 0.0
        region = self._regions_by_zone.get(target.zone)
        if region == self._origin.region:
            return OTHER_ZONE_SCORE
        return OTHER_REGION_SCORE

    def _common_score(self, state: targets.TargetState) -> float:
        return (
            self._distance(state.target)
            + FAILURE_SCORE * state.failure_share
            + WARMING_UP_SCORE * state.target.is_warming_up
        )

    def _plain_score(self, state: targets.TargetState) -> float:
        return self._common_score(state) + state.in_flight

    def _engine_score(self, state: targets.TargetState) -> float:
        load = state.load
        return (
            self._common_score(state)
            + load.pending_prefills()
            + load.memory_needed() / load.capacity.memory_tokens
            + self._rng.uniform(0, ENGINE_SPREAD_SCORE)
        )

    def _copy_score(self, state: targets.TargetState) -> float:
        share = state.load.memory_needed() / state.load.capacity.memory_tokens
        return share * FULL_MEMORY_SCORE + FAILURE_SCORE * state.failure_share


def has_room(
    state: targets.TargetState,
    tokens: int,
    fraction: float,
    left: reserve.Room = reserve.NONE,
) -> bool:
    """Return whether an engine has a slot and KV cache for a generation.

    :param tokens: the KV cache that the generation will need.
    :param fraction: the fraction of the engine's KV cache that may be filled.
        An idle engine also takes a generation that is larger than this.
    :param left: the room that the generation leaves to more urgent ones.
    """
    capacity = state.load.capacity
    if state.load.slots_in_use() + left.slots >= capacity.slots:
        return False
    needed = state.load.memory_needed()
    fraction -= left.memory_part
    return needed + tokens <= capacity.memory_tokens * fraction or not needed
