"""A seeded workload: teams, long and short jobs, prefixes and bursts."""

from collections.abc import Iterator
import dataclasses

import numpy

from kingcupfront_bench import deployment

TEAMS = 10
TEAM_SHARES = (0.25, 0.2, 0.15, 0.08, 0.07, 0.06, 0.06, 0.05, 0.05, 0.03)
FLOODING_TEAM = 'team-9'
FLOOD_FACTOR = 10.0
SHORT_MEDIAN = 30
SHORT_SIGMA = 0.7
SHORT_BOUND = 256
LONG_BOUND = 8192
PREFIX_TOKENS = 128
PREFIXES_PER_TEAM = 3
LONG_PROMPT_MEDIAN = 900
SHORT_PROMPT_MEDIAN = 200
PROMPT_SIGMA = 0.6
MAX_PROMPT = 6000
LONG_DEADLINE_SECONDS = 10.0
SHORT_DEADLINE_SECONDS = 3.0
BURST_SECONDS = 4.0
BURST_EVERY_SECONDS = 40.0
BURST_FACTOR = 2.5
CALLERS_SETTING_BOUND = 0.7


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of a caller.

    :param at: the second of its arrival.
    :param team: the team's name.
    :param place: the index of the caller's place.
    :param is_long: whether it is a long job.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: the length that routing does not know.
    :param bound: the caller's bound on the output, if it set one.
    :param prefix: hashes of the prompt's shared leading parts.
    :param deadline: seconds until the first token is late.
    """

    at: float
    team: str
    place: int
    is_long: bool
    prompt_tokens: int
    output_tokens: int
    bound: int | None
    prefix: tuple[int, ...]
    deadline: float


def _mean_lognormal(median: float, sigma: float, bound: int) -> float:
    """Return the mean of a bounded log-normal, from a fixed sample."""
    rng = numpy.random.default_rng(0)
    sample = rng.lognormal(numpy.log(median), sigma, 200_000)
    return float(numpy.clip(sample, 1, bound).mean())


class Workload:
    """Arrivals of one run.

    :param where: the deployment.
    :param load: offered tokens a second as a fraction of capacity.
    :param seconds: the length of the run.
    :param seed: the seed.
    :param flood: the seconds between which one team floods.
    """

    def __init__(
        self,
        where: deployment.Deployment,
        load: float,
        seconds: float,
        seed: int,
        flood: tuple[float, float] | None,
    ) -> None:
        self._where = where
        self._seconds = seconds
        self._flood = flood
        self._rng = numpy.random.default_rng(seed)
        mean = where.long_fraction * _mean_lognormal(
            where.long_median, where.long_sigma, LONG_BOUND
        ) + (1 - where.long_fraction) * _mean_lognormal(
            SHORT_MEDIAN, SHORT_SIGMA, SHORT_BOUND
        )
        self.jobs_per_second = load * where.capacity / mean

    def arrivals(self) -> list[Arrival]:
        """Return the arrivals in order of time."""
        found: list[Arrival] = []
        for index, share in enumerate(TEAM_SHARES):
            times = self._times(index, share * self.jobs_per_second)
            found.extend(self._arrival(index, at) for at in times)
        return sorted(found, key=lambda item: item.at)

    def _times(self, index: int, rate: float) -> Iterator[float]:
        """Yield times of a Poisson process with bursts."""
        starts = numpy.arange(
            self._rng.uniform(0, BURST_EVERY_SECONDS),
            self._seconds,
            BURST_EVERY_SECONDS,
        )
        calm = (BURST_EVERY_SECONDS - BURST_SECONDS * BURST_FACTOR) / (
            BURST_EVERY_SECONDS - BURST_SECONDS
        )
        top = rate * BURST_FACTOR
        flooding = f'team-{index}' == FLOODING_TEAM and self._flood
        if flooding:
            top = rate * FLOOD_FACTOR
        at = 0.0
        while True:
            at += self._rng.exponential(1 / top)
            if at >= self._seconds:
                return
            in_burst = any(s <= at < s + BURST_SECONDS for s in starts)
            level = rate * (BURST_FACTOR if in_burst else calm)
            if flooding and self._flood[0] <= at < self._flood[1]:
                level = rate * FLOOD_FACTOR
            if self._rng.random() < level / top:
                yield at

    def _arrival(self, index: int, at: float) -> Arrival:
        rng, where = self._rng, self._where
        is_long = bool(rng.random() < where.long_fraction)
        if is_long:
            output = rng.lognormal(
                numpy.log(where.long_median), where.long_sigma
            )
            prompt = rng.lognormal(numpy.log(LONG_PROMPT_MEDIAN), PROMPT_SIGMA)
        else:
            output = rng.lognormal(numpy.log(SHORT_MEDIAN), SHORT_SIGMA)
            prompt = rng.lognormal(
                numpy.log(SHORT_PROMPT_MEDIAN), PROMPT_SIGMA
            )
        limit = LONG_BOUND if is_long else SHORT_BOUND
        prefix = self._prefix(index, is_long)
        return Arrival(
            at=at,
            team=f'team-{index}',
            place=int(rng.choice(3, p=where.entry_shares)),
            is_long=is_long,
            prompt_tokens=min(
                int(prompt) + PREFIX_TOKENS * len(prefix), MAX_PROMPT
            ),
            output_tokens=int(numpy.clip(output, 1, limit)),
            bound=limit if rng.random() < CALLERS_SETTING_BOUND else None,
            prefix=prefix,
            deadline=(
                LONG_DEADLINE_SECONDS if is_long else SHORT_DEADLINE_SECONDS
            ),
        )

    def _prefix(self, index: int, is_long: bool) -> tuple[int, ...]:
        """Return one of the team's shared prefixes."""
        which = int(self._rng.integers(PREFIXES_PER_TEAM))
        depth = 8 if is_long else 2
        base = (index * PREFIXES_PER_TEAM + which) * 2 + int(is_long)
        return tuple(base * 100 + level for level in range(depth))
