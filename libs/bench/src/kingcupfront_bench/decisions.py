"""Processor time and memory of routing decisions at several sizes."""

from collections.abc import Callable
import random
import time
import tracemalloc

import tabulate

from kingcupfront_core import address
from kingcupfront_core import outcomes
from kingcupfront_route import dispatcher
from kingcupfront_route import headroom_policy
from kingcupfront_route import ledger
from kingcupfront_route import length_estimator
from kingcupfront_route import limits
from kingcupfront_route import prefix_index
from kingcupfront_route import routing_request
from kingcupfront_route import target
from kingcupfront_route import team

SIZES = (9, 100, 1_000, 3_300)
DECISIONS = 2_000
SECONDS_APART = 0.002
PLACES = 8
TEAMS = 1_700
LIMITED_TEAMS = 100
PREFIXES = 20_000
MEASURED_KEYS = 500
PREFIX_DEPTH = 8
ADDRESS = address.Address('127.0.0.1', 1)


def _targets(count: int) -> list[target.Target]:
    return [
        target.Target(
            f'target-{index}',
            ADDRESS,
            'generate',
            f'place-{index % PLACES}',
            slots=64,
            report=target.LoadReport(1, 0.0, 10, 0, 3000, 4096),
        )
        for index in range(count)
    ]


def _dispatcher(policy: str, count: int) -> dispatcher.Dispatcher:
    made = dispatcher.Dispatcher(policy, rng=random.Random(1), entries=9)
    made.target_registry.set_targets(_targets(count))
    return made


def _job(number: int) -> routing_request.RoutingRequest:
    base = number % 60 * 100
    return routing_request.RoutingRequest(
        str(number),
        f'team-{number % 10}',
        'generate',
        f'place-{number % PLACES}',
        prompt_tokens=600,
        prefix=tuple(range(base, base + PREFIX_DEPTH)),
        prefix_block_tokens=128,
    )


def decision_microseconds(policy: str, count: int) -> float:
    """Return the processor time of one offer and release.

    :param policy: a name of a routing policy.
    :param count: the number of targets.
    """
    made = _dispatcher(policy, count)
    jobs = [_job(number) for number in range(DECISIONS)]
    start = time.process_time()
    for number, work in enumerate(jobs):
        now = 1.0 + number * SECONDS_APART
        item = made.submit(work, now)
        item.outcome = outcomes.Outcome.DONE
        item.tokens = 100
        if item.target is not None:
            made.release(item, now)
        else:
            made.cancel(item)
    return (time.process_time() - start) / DECISIONS * 1e6


def _microseconds_each(call: Callable[[int], object], count: int) -> float:
    """Return the processor time of a call, given its number from 1."""
    start = time.process_time()
    for number in range(1, count + 1):
        call(number)
    return (time.process_time() - start) / count * 1e6


def _message_costs() -> list[list[object]]:
    """Return rows of message kinds and processor time for each message."""
    made = _dispatcher(headroom_policy.LATEST, 3_300)
    held = prefix_index.PrefixIndex()
    divided = _limited().limits
    divided.set_entries(9)
    for index in range(LIMITED_TEAMS):
        divided.allowance(f'team-{index}', 1.0)
    reserved = {f'team-{index}': 3.0 for index in range(LIMITED_TEAMS)}

    def report(number: int) -> None:
        load = target.LoadReport(number + 1, 1.0, 10, 0, 3000, 4096)
        made.observe_report(f'target-{number % 3_300}', load)

    def event(number: int) -> None:
        values = tuple(range(number, number + PREFIX_DEPTH))
        held.apply_event(
            'target-1', prefix_index.CacheEvent(number, values), 1.0
        )

    def usage(number: int) -> None:
        divided.observe('peer', limits.Usage(number, reserved), 1.0)

    return [
        ['load report', _microseconds_each(report, DECISIONS)],
        ['cache event of 8 hashes', _microseconds_each(event, DECISIONS)],
        ['usage of 100 teams', _microseconds_each(usage, 200)],
    ]


def _bytes_each(make: Callable[[], object], count: int) -> float:
    """Return the bytes that a function's result holds, for each item."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        used = tracemalloc.get_traced_memory()[0] - before
        del kept
        return used / count
    finally:
        tracemalloc.stop()


def _full_ledgers() -> list[ledger.Ledger]:
    found = []
    for _ in range(MEASURED_KEYS):
        item = ledger.Ledger()
        for number in range(ledger.MAX_CHANGES):
            item.add(ledger.LoadChange(number / 100, 1, number + 0.5, 600))
        found.append(item)
    return found


def _full_lengths() -> length_estimator.LengthEstimator:
    found = length_estimator.LengthEstimator()
    rng = random.Random(1)
    for number in range(MEASURED_KEYS - 1):
        for _ in range(64):
            tokens = int(rng.lognormvariate(6, 1))
            found.record('generate', f'team-{number}', None, tokens)
    return found


def _full_prefixes() -> prefix_index.PrefixIndex:
    found = prefix_index.PrefixIndex()
    names = [f'target-{index}' for index in range(prefix_index.MAX_HOLDERS)]
    for value in range(PREFIXES):
        for name in names:
            found.add(name, (value,), 1.0)
    return found


def _limited() -> dispatcher.Dispatcher:
    made = _dispatcher('random', 1)
    made.limits.set_teams(
        [
            team.Team(f'team-{index}', max_concurrent=1000)
            for index in range(TEAMS)
        ]
    )
    for index in range(TEAMS):
        made.limits.allowance(f'team-{index}', 1.0)
    return made


def run(policy: str) -> str:
    """Return a table of processor time and memory.

    :param policy: a name of a routing policy.
    """
    cost = [
        [count, round(decision_microseconds(policy, count), 1)]
        for count in SIZES
    ]
    memory = [
        ['target', _bytes_each(lambda: _dispatcher(policy, 3_300), 3_300)],
        ['target, own history full', _bytes_each(_full_ledgers, 500)],
        ['team with a limit', _bytes_each(_limited, TEAMS)],
        ['team and model: lengths', _bytes_each(_full_lengths, MEASURED_KEYS)],
        ['prefix with 8 holders', _bytes_each(_full_prefixes, PREFIXES)],
    ]
    rows = [[name, round(value)] for name, value in memory]
    costs = [[name, round(cost, 1)] for name, cost in _message_costs()]
    return '\n\n'.join(
        [
            tabulate.tabulate(cost, ['targets', 'us a decision'], 'github'),
            tabulate.tabulate(costs, ['message', 'us each'], 'github'),
            tabulate.tabulate(rows, ['state', 'bytes each'], 'github'),
        ]
    )
