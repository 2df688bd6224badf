"""How far a team exceeds its limit when entries only hear one another."""

from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import random

import tabulate

from kingcupfront_route import limits
from kingcupfront_route import team

TEAM = 'a'
LIMIT = 180
SECONDS = 120.0
GOSSIP_SECONDS = 0.5
HOLD_SECONDS = 5.0
OFFERED_FACTOR = 2.0
SHIFT_SECONDS = 20.0
PARTITION = (40.0, 80.0)


@dataclasses.dataclass(frozen=True)
class Setup:
    """One run.

    :param entries: the number of entries.
    :param delay: how late messages between entries are, in seconds.
    :param has_partition: whether the entries are split in two for a while.
    :param drops_peers: whether each part counts only its own entries then.
    """

    entries: int
    delay: float
    has_partition: bool
    drops_peers: bool = False


def _is_cut(setup: Setup, one: int, other: int, now: float) -> bool:
    if not setup.has_partition:
        return False
    is_time = PARTITION[0] <= now < PARTITION[1]
    half = setup.entries // 2
    return is_time and (one < half) != (other < half)


class _Run:
    """Entries with a team that asks for more than its limit."""

    def __init__(self, setup: Setup, seed: int) -> None:
        self.setup = setup
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple] = []
        self._entries = [
            limits.TeamLimits(setup.entries) for _ in range(setup.entries)
        ]
        for item in self._entries:
            item.set_teams([team.Team(TEAM, max_concurrent=LIMIT)])
        self._running = 0
        self._area = 0.0
        self._last = 0.0
        self.highest = 0

    def _at(self, when: float, *what: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), *what))

    def run(self) -> tuple[int, float]:
        """Return the highest and the mean number in progress."""
        for index in range(self.setup.entries):
            self._at(self._rng.uniform(0, GOSSIP_SECONDS), 'gossip', index)
        self._at(0.0, 'arrive', 0)
        if self.setup.drops_peers:
            self._at(PARTITION[0] + 3, 'count', self.setup.entries // 2)
            self._at(PARTITION[1], 'count', self.setup.entries)
        while self._events:
            now, _, kind, *rest = heapq.heappop(self._events)
            if now > SECONDS:
                break
            self._area += self._running * (now - self._last)
            self._last = now
            getattr(self, f'_{kind}')(now, *rest)
        return self.highest, self._area / SECONDS

    def _count(self, now: float, count: int) -> None:
        for item in self._entries:
            item.set_entries(count)

    def _arrive(self, now: float, _: int) -> None:
        rate = OFFERED_FACTOR * LIMIT / HOLD_SECONDS
        self._at(now + self._rng.expovariate(rate), 'arrive', 0)
        index = self._rng.randrange(self.setup.entries)
        if int(now / SHIFT_SECONDS) % 2:
            index %= max(1, self.setup.entries // 3)
        if self._entries[index].acquire(TEAM, now):
            self._running += 1
            self.highest = max(self.highest, self._running)
            hold = self._rng.expovariate(1 / HOLD_SECONDS)
            self._at(now + hold, 'end', index)

    def _end(self, now: float, index: int) -> None:
        self._running -= 1
        self._entries[index].release(TEAM)

    def _gossip(self, now: float, index: int) -> None:
        usage = self._entries[index].usage()
        for other in range(self.setup.entries):
            if other == index or _is_cut(self.setup, index, other, now):
                continue
            delay = self.setup.delay * self._rng.uniform(0.5, 1.5)
            self._at(now + delay, 'hear', other, index, usage)
        self._at(now + GOSSIP_SECONDS, 'gossip', index)

    def _hear(
        self, now: float, index: int, peer: int, usage: limits.Usage
    ) -> None:
        self._entries[index].observe(str(peer), usage, now)


SETUPS = (
    Setup(9, 0.02, False),
    Setup(9, 1.0, False),
    Setup(9, 0.02, True),
    Setup(9, 0.02, True, drops_peers=True),
    Setup(30, 0.02, False),
    Setup(30, 0.02, True),
)


def run(seeds: Iterable[int]) -> str:
    """Return a table of the highest and mean use against the limit.

    :param seeds: seeds of the runs.
    """
    numbers = list(seeds)
    rows = []
    for setup in SETUPS:
        results = [_Run(setup, seed).run() for seed in numbers]
        highest = max(result[0] for result in results)
        mean = sum(result[1] for result in results) / len(results)
        rows.append(
            [
                setup.entries,
                setup.delay,
                setup.has_partition,
                setup.drops_peers,
                highest / LIMIT,
                mean / LIMIT,
            ]
        )
    headers = [
        'entries',
        'delay s',
        'partition',
        'peers dropped',
        'highest / limit',
        'mean / limit',
    ]
    return tabulate.tabulate(rows, headers, 'github', floatfmt='.3f')
