"""The project's own policies, each version kept to compare with."""

from collections.abc import Collection
import dataclasses
import math

from kingcupfront_route import headroom
from kingcupfront_route import policy
from kingcupfront_route import policy_context
from kingcupfront_route import pool
from kingcupfront_route import routing_request
from kingcupfront_route import target

SAMPLE_LOCAL = 6
SAMPLE_ANY = 6
MAX_PREFIX_CANDIDATES = 4
SILENT_COST = 0.75
RECENT_PREFILL_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class Features:
    """What a version of the policy takes into account.

    :param admission: jobs wait until a target has room.
    :param others: other entries' likely sends are allowed for.
    :param prefix: targets that hold the prompt's prefix are preferred.
    :param place: another place costs something.
    :param prefill: targets that were just sent prompts are avoided.
    :param share: the entry takes at most its part of a target's room
        between two reports.
    :param home: each prefix prefers one target of each place.
    :param waiting: jobs that wait on a target take room instead of closing
        the target.
    :param sample: targets compared; 0 for all of a small service.
    """

    admission: bool = False
    others: bool = False
    prefix: bool = False
    place: bool = False
    prefill: bool = False
    share: bool = False
    home: bool = False
    waiting: bool = False
    sample: int = 2


class HeadroomPolicy:
    """Chooses the target with the most expected room.

    :param known: the entry's context.
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
    ) -> target.Target | None:
        """Return the best of the compared targets that has room."""
        held = {}
        if self._features.prefix and request.prefix:
            held = self._context.prefixes.matched_blocks(request.prefix, now)
        home = None
        if self._features.home and request.prefix:
            home = usable.home(request.prefix[-1], request.place)
        best, best_cost = None, math.inf
        for item in self._candidates(request, usable, excluded, held, home):
            cost = self._cost(request, item, now, len(usable), held)
            if item.id == home:
                cost -= self._context.tuning.affinity_bonus
            if cost < best_cost:
                best, best_cost = item, cost
        return best

    def _candidates(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        excluded: Collection[str],
        held: dict[str, float],
        home: str | None,
    ) -> list[target.Target]:
        rng = self._context.rng
        if self._features.sample:
            return usable.sample(rng, self._features.sample, excluded)
        if len(usable) <= SAMPLE_LOCAL + SAMPLE_ANY:
            return usable.sample(rng, len(usable), excluded)
        local = usable.sample(rng, SAMPLE_LOCAL, excluded, place=request.place)
        found = {item.id: item for item in local}
        for item in usable.sample(rng, SAMPLE_ANY, excluded):
            found[item.id] = item
        longest = sorted(held, key=held.__getitem__, reverse=True)
        for target_id in (home, *longest[:MAX_PREFIX_CANDIDATES]):
            item = usable.get(target_id)
            if item is not None and target_id not in excluded:
                found[target_id] = item
        return list(found.values())

    def _cost(
        self,
        request: routing_request.RoutingRequest,
        item: target.Target,
        now: float,
        count: int,
        held: dict[str, float],
    ) -> float:
        """Return the cost of a target, infinite if it has no room."""
        tuning = self._context.tuning
        room = headroom.estimate(
            item, self._context, now, count=count, others=self._features.others
        )
        slots = item.slots * tuning.batch_fraction
        if room is None:
            if self._features.admission and item.outstanding >= slots:
                return math.inf
            if self._features.share and self._context.has_reports(
                item.service
            ):
                slots /= 2 * self._context.entries
                if item.outstanding >= max(1, slots):
                    return math.inf
                return SILENT_COST + item.outstanding / item.slots
            cost = item.outstanding / item.slots
        else:
            need = self._need(request, item, held)
            if self._features.admission and not self._fits(room, need, slots):
                return math.inf
            cost = 1 - (room.free - need) / room.total
        return cost + self._extras(request, item, now)

    @staticmethod
    def _need(
        request: routing_request.RoutingRequest,
        item: target.Target,
        held: dict[str, float],
    ) -> float:
        """Return the blocks that a prompt takes beyond what is held."""
        saved = held.get(item.id, 0.0) * request.prefix_block_tokens
        return max(request.prompt_tokens - saved, 1) / item.block_tokens

    def _fits(
        self,
        room: headroom.Headroom,
        need: float,
        slots: float,
    ) -> bool:
        if room.jobs >= slots:
            return False
        if room.waiting and not self._features.waiting:
            return False
        used = room.total - room.free
        mean = used / max(room.jobs - room.waiting, 1)
        reserve = (
            self._context.tuning.reserve_deviations
            * math.sqrt(max(room.jobs, 1))
            * mean
        )
        reserve = min(reserve, room.total / 2)
        if not self._features.share:
            return room.free - need >= reserve
        left = room.free + room.own - reserve
        if self._features.waiting:
            left -= room.waiting * mean
        part = self._context.rng.random() * need
        return room.own + part <= left / self._context.entries

    def _extras(
        self,
        request: routing_request.RoutingRequest,
        item: target.Target,
        now: float,
    ) -> float:
        tuning = self._context.tuning
        cost = 0.0
        if self._features.place and item.place != request.place:
            cost += tuning.crossing_cost
        if self._features.prefill:
            recent = item.ledger.since(now - RECENT_PREFILL_SECONDS)
            cost += 0.25 * max(0, recent.prefill) / tuning.prefill_tokens
        return cost


def _register(version: str, features: Features) -> None:
    def make(context: policy_context.PolicyContext) -> policy.Policy:
        return HeadroomPolicy(context, features)

    policy.policies.register(version)(make)


VERSIONS = {'headroom_v1': Features()}
VERSIONS['headroom_v2'] = Features(admission=True, sample=0)
VERSIONS['headroom_v3'] = Features(admission=True, others=True, sample=0)
VERSIONS['headroom_v4'] = Features(admission=True, share=True, sample=0)
VERSIONS['headroom_v5'] = dataclasses.replace(
    VERSIONS['headroom_v4'], prefix=True
)
VERSIONS['headroom_v6'] = dataclasses.replace(
    VERSIONS['headroom_v5'], place=True
)
VERSIONS['headroom_v7'] = dataclasses.replace(
    VERSIONS['headroom_v6'], prefill=True
)
VERSIONS['headroom_v8'] = dataclasses.replace(
    VERSIONS['headroom_v6'], home=True
)
VERSIONS['headroom_v9'] = dataclasses.replace(
    VERSIONS['headroom_v8'], waiting=True
)
LATEST = 'headroom_v9'

for _version, _features in VERSIONS.items():
    _register(_version, _features)
