"""The headroom policy; its earlier versions are kept for comparison."""

from collections.abc import Collection
import dataclasses
import math

from kingcupfront_route import headroom
from kingcupfront_route import policy
from kingcupfront_route import policy_context
from kingcupfront_route import pool
from kingcupfront_route import routing_request
from kingcupfront_route import target as targets

LOCAL_SAMPLE_SIZE = 6
GLOBAL_SAMPLE_SIZE = 6
MAX_PREFIX_HOLDERS_COMPARED = 4
NO_REPORT_COST = 0.75
RECENT_PREFILL_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class Features:
    """What a version of the policy takes into account.

    :param admission_control: requests wait until a target has room.
    :param count_other_entries: the estimate of a target's room allows for
        what the other entries have probably sent.
    :param prefix_cache: targets that hold the prompt's prefix are compared
        and need fewer blocks.
    :param locality: targets in another data centre cost more.
    :param recent_prefill: targets that were just sent prompts cost more.
    :param fair_share: the entry takes at most its share of a target's room
        between two reports.
    :param affinity: each prefix prefers one target in each data centre.
    :param waiting_as_load: requests that wait on a target take up room,
        instead of closing the target to others.
    :param sample_size: targets to compare, drawn at random. 0 stands for all
        targets of a small service; for a large one, it stands for samples
        from the request's data centre and from all, with the affinity target
        and the best holders of the prefix.
    """

    admission_control: bool = False
    count_other_entries: bool = False
    prefix_cache: bool = False
    locality: bool = False
    recent_prefill: bool = False
    fair_share: bool = False
    affinity: bool = False
    waiting_as_load: bool = False
    sample_size: int = 2


class HeadroomPolicy:
    """Chooses the target with the lowest cost among those that have room.

    The cost of a target is the fraction of its KV cache that would be in use
    with the request, plus penalties and less the affinity bonus. Without a
    usable load report, the fraction of its slots that this entry uses stands
    in for that of the KV cache.

    :param context: the entry's context.
    :param features: what to take into account.
    """

    def __init__(
        self, context: policy_context.PolicyContext, features: Features
    ) -> None:
        self._context = context
        self._features = features

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> targets.Target | None:
        """Return the cheapest of the compared targets that has room."""
        matched_by_id = {}
        if self._features.prefix_cache and request.prefix:
            matched_by_id = self._context.prefixes.matched_blocks(
                request.prefix, now
            )
        affinity_id = None
        if self._features.affinity and request.prefix:
            affinity_id = usable.affinity_id(request.prefix[-1], request.place)
        best, best_cost = None, math.inf
        for target in self._candidates(
            request, usable, excluded, matched_by_id, affinity_id
        ):
            cost = self._cost(request, target, now, len(usable), matched_by_id)
            if target.id == affinity_id:
                cost -= self._context.tuning.affinity_bonus
            if cost < best_cost:
                best, best_cost = target, cost
        return best

    def _candidates(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        excluded: Collection[str],
        matched_by_id: dict[str, float],
        affinity_id: str | None,
    ) -> list[targets.Target]:
        rng = self._context.rng
        if self._features.sample_size:
            return usable.sample(rng, self._features.sample_size, excluded)
        if len(usable) <= LOCAL_SAMPLE_SIZE + GLOBAL_SAMPLE_SIZE:
            return usable.sample(rng, len(usable), excluded)
        local = usable.sample(
            rng, LOCAL_SAMPLE_SIZE, excluded, place=request.place
        )
        candidates_by_id = {target.id: target for target in local}
        for target in usable.sample(rng, GLOBAL_SAMPLE_SIZE, excluded):
            candidates_by_id[target.id] = target
        longest_matches = sorted(
            matched_by_id, key=matched_by_id.__getitem__, reverse=True
        )
        for target_id in (
            affinity_id,
            *longest_matches[:MAX_PREFIX_HOLDERS_COMPARED],
        ):
            target = usable.get(target_id)
            if target is not None and target_id not in excluded:
                candidates_by_id[target_id] = target
        return list(candidates_by_id.values())

    def _cost(
        self,
        request: routing_request.RoutingRequest,
        target: targets.Target,
        now: float,
        target_count: int,
        matched_by_id: dict[str, float],
    ) -> float:
        """Return the cost of a target, infinite if it has no room."""
        tuning = self._context.tuning
        room = headroom.estimate(
            target,
            self._context,
            now,
            target_count=target_count,
            count_other_entries=self._features.count_other_entries,
        )
        slots = target.slots * tuning.batch_fraction
        if room is None:
            if (
                self._features.admission_control
                and target.outstanding >= slots
            ):
                return math.inf
            if self._features.fair_share and self._context.has_reports(
                target.service
            ):
                slots /= 2 * self._context.entries
                if target.outstanding >= max(1, slots):
                    return math.inf
                return NO_REPORT_COST + target.outstanding / target.slots
            cost = target.outstanding / target.slots
        else:
            needed_blocks = self._needed_blocks(request, target, matched_by_id)
            if self._features.admission_control and not self._has_room(
                room, needed_blocks, slots
            ):
                return math.inf
            cost = 1 - (room.free_blocks - needed_blocks) / room.total_blocks
        return cost + self._penalties(request, target, now)

    @staticmethod
    def _needed_blocks(
        request: routing_request.RoutingRequest,
        target: targets.Target,
        matched_by_id: dict[str, float],
    ) -> float:
        """Return the blocks that a prompt takes besides its cached prefix."""
        matched_tokens = (
            matched_by_id.get(target.id, 0.0) * request.prefix_block_tokens
        )
        return (
            max(request.prompt_tokens - matched_tokens, 1)
            / target.block_tokens
        )

    def _has_room(
        self,
        room: headroom.Headroom,
        needed_blocks: float,
        slots: float,
    ) -> bool:
        if room.requests >= slots:
            return False
        if room.waiting_requests and not self._features.waiting_as_load:
            return False
        used_blocks = room.total_blocks - room.free_blocks
        mean_blocks = used_blocks / max(
            room.requests - room.waiting_requests, 1
        )
        reserved_blocks = (
            self._context.tuning.reserve_deviations
            * math.sqrt(max(room.requests, 1))
            * mean_blocks
        )
        reserved_blocks = min(reserved_blocks, room.total_blocks / 2)
        if not self._features.fair_share:
            return room.free_blocks - needed_blocks >= reserved_blocks
        available_blocks = room.free_blocks + room.own_blocks - reserved_blocks
        if self._features.waiting_as_load:
            available_blocks -= room.waiting_requests * mean_blocks
        # A random part lets a share smaller than one request be used too.
        random_part = self._context.rng.random() * needed_blocks
        return (
            room.own_blocks + random_part
            <= available_blocks / self._context.entries
        )

    def _penalties(
        self,
        request: routing_request.RoutingRequest,
        target: targets.Target,
        now: float,
    ) -> float:
        tuning = self._context.tuning
        cost = 0.0
        if self._features.locality and target.place != request.place:
            cost += tuning.crossing_cost
        if self._features.recent_prefill:
            recent = target.ledger.sum_since(now - RECENT_PREFILL_SECONDS)
            cost += (
                0.25 * max(0, recent.prefill_tokens) / tuning.prefill_tokens
            )
        return cost


def _register(version: str, features: Features) -> None:
    def make(context: policy_context.PolicyContext) -> policy.Policy:
        return HeadroomPolicy(context, features)

    policy.policies.register(version)(make)


VERSIONS = {'headroom_v1': Features()}
VERSIONS['headroom_v2'] = Features(admission_control=True, sample_size=0)
VERSIONS['headroom_v3'] = Features(
    admission_control=True, count_other_entries=True, sample_size=0
)
VERSIONS['headroom_v4'] = Features(
    admission_control=True, fair_share=True, sample_size=0
)
VERSIONS['headroom_v5'] = dataclasses.replace(
    VERSIONS['headroom_v4'], prefix_cache=True
)
VERSIONS['headroom_v6'] = dataclasses.replace(
    VERSIONS['headroom_v5'], locality=True
)
VERSIONS['headroom_v7'] = dataclasses.replace(
    VERSIONS['headroom_v6'], recent_prefill=True
)
VERSIONS['headroom_v8'] = dataclasses.replace(
    VERSIONS['headroom_v6'], affinity=True
)
VERSIONS['headroom_v9'] = dataclasses.replace(
    VERSIONS['headroom_v8'], waiting_as_load=True
)
LATEST = 'headroom_v9'

for _version, _features in VERSIONS.items():
    _register(_version, _features)
