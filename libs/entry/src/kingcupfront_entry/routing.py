"""The router's knowledge of objects and of other entries."""

import itertools
import logging
import math

import gevent
import xxhash

from kingcupfront_config import objects
from kingcupfront_entry import listing
from kingcupfront_entry import state
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import heartbeats
from kingcupfront_route import limits
from kingcupfront_route import overload_limits
from kingcupfront_route import team
from kingcupfront_route import tuning

LOG = logging.getLogger(__name__)
COUNT_INTERVAL_SECONDS = 1.0
PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCKS = 8


def connect(process: state.State, beats: heartbeats.HeartbeatProtocol) -> None:
    """Keep the router's teams, policy and limits as all entries have them.

    :param process: the process.
    :param beats: the membership.
    """
    numbers = itertools.count(1)

    def heard(item: heartbeat_message.Heartbeat) -> None:
        name = item.own.instance
        rows = beats.membership.usage_by_peer.get(name, ())
        reserved = {row.team: float(row.concurrent) for row in rows}
        process.router.observe_usage(
            f'{name}/{item.own.incarnation}',
            limits.Usage(next(numbers), reserved),
        )

    beats.observers.append(heard)
    process.in_force.listeners.append(
        lambda current: apply_objects(process, current)
    )
    process.parts_by_name['router'] = process.router


def apply_objects(process: state.State, current: objects.ObjectSet) -> None:
    """Give the router the teams and the policy of a set.

    One policy routes for all services of an entry: that of the first model
    service by name which has one.

    :param process: the process.
    :param current: the set that came into force.
    """
    process.router.set_teams(
        [
            team.Team(
                item.name,
                item.weight,
                item.max_concurrent,
                item.tokens_per_second,
            )
            for item in current.by_name('team').values()
        ]
    )
    services = current.by_name('service')
    names = [
        services[name].policy
        for name in sorted(services)
        if services[name].type == 'model' and services[name].policy
    ]
    if not names:
        return
    if len(set(names)) > 1:
        LOG.warning('policies_differ', extra={'used': names[0]})
    chosen = current.by_name('policy')[names[0]]
    process.router.set_policy(chosen.routing, tuning.BY_GOAL[chosen.favours])
    process.router.set_overload_limits(
        overload_limits.OverloadLimits(chosen.queue_limit, chosen.retry_budget)
    )


def usage(process: state.State) -> tuple[heartbeat_message.Usage, ...]:
    """Return what each team with a limit may use through this entry now."""
    reserved = process.router.usage().reserved_by_team
    return tuple(
        heartbeat_message.Usage(name, math.ceil(count))
        for name, count in sorted(reserved.items())
    )


def follow_entries(
    process: state.State, beats: heartbeats.HeartbeatProtocol
) -> None:
    """Tell the router how many entries share its targets, for ever.

    Those that are listed count even if they can't be reached, so that a
    partition gives no entry more of a team's limit.

    :param process: the process.
    :param beats: the membership.
    """
    while True:
        listed = sum(
            row.service == listing.ENTRY_SERVICE for row in process.instances
        )
        known = len(beats.membership.live()) + 1
        process.router.set_entries(max(listed, known))
        gevent.sleep(COUNT_INTERVAL_SECONDS)


def prefix(body: bytes) -> tuple[int, ...]:
    """Return the hashes of a request's leading blocks, outermost first.

    :param body: the request's JSON as the caller sent it.
    """
    count = min(len(body) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    hashed = xxhash.xxh64()
    hashes = []
    for block in range(count):
        start = block * PREFIX_BLOCK_BYTES
        hashed.update(body[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(hashed.intdigest())
    return tuple(hashes)
