"""Keeps the router's teams, policy and limits up to date."""

import itertools
import logging
import math

import gevent
import xxhash

from kingcupfront_config import objects
from kingcupfront_entry import instance_list_sync
from kingcupfront_entry import state
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import heartbeats
from kingcupfront_route import limits
from kingcupfront_route import overload_limits
from kingcupfront_route import team
from kingcupfront_route import tuning

LOG = logging.getLogger(__name__)
ENTRY_COUNT_INTERVAL_SECONDS = 1.0
PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCKS = 8


def subscribe(
    process: state.State, beats: heartbeats.HeartbeatProtocol
) -> None:
    """Update the router on changes of configuration and on heartbeats.

    :param process: the state of the process.
    :param beats: the heartbeats, which carry each entry's usage of limits.
    """
    report_numbers = itertools.count(1)

    def on_heartbeat(item: heartbeat_message.Heartbeat) -> None:
        name = item.own.instance
        rows = beats.membership.usage_by_peer.get(name, ())
        reserved = {row.team: float(row.concurrent) for row in rows}
        process.router.observe_usage(
            f'{name}/{item.own.incarnation}',
            limits.Usage(next(report_numbers), reserved),
        )

    beats.observers.append(on_heartbeat)
    process.in_force.listeners.append(
        lambda current: apply_objects(process, current)
    )
    process.components_by_name['router'] = process.router


def apply_objects(process: state.State, current: objects.ObjectSet) -> None:
    """Set the router's teams and policy from the configuration.

    An entry routes all its services by one policy: that of the first model
    service, in the order of names, that names a policy.

    :param process: the state of the process.
    :param current: the configuration that came into force.
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
    policy_names = [
        services[name].policy
        for name in sorted(services)
        if services[name].type == 'model' and services[name].policy
    ]
    if not policy_names:
        return
    if len(set(policy_names)) > 1:
        LOG.warning('policies_differ', extra={'used': policy_names[0]})
    policy = current.by_name('policy')[policy_names[0]]
    process.router.set_policy(policy.routing, tuning.BY_GOAL[policy.favours])
    process.router.set_overload_limits(
        overload_limits.OverloadLimits(policy.queue_limit, policy.retry_budget)
    )


def team_usage(process: state.State) -> tuple[heartbeat_message.Usage, ...]:
    """Return what this entry has reserved of each limited team's quota."""
    reserved = process.router.usage().reserved_by_team
    return tuple(
        heartbeat_message.Usage(name, math.ceil(count))
        for name, count in sorted(reserved.items())
    )


def follow_entry_count(
    process: state.State, beats: heartbeats.HeartbeatProtocol
) -> None:
    """Update the number of entries that share the targets, for ever.

    Entries on the instance list count even if they cannot be reached, so
    that no entry gets a larger share of a team's limit in a partition.

    :param process: the state of the process.
    :param beats: the heartbeats, for the live members.
    """
    while True:
        listed_count = sum(
            row.service == instance_list_sync.ENTRY_SERVICE
            for row in process.instances
        )
        live_count = len(beats.membership.live()) + 1
        process.router.set_entries(max(listed_count, live_count))
        gevent.sleep(ENTRY_COUNT_INTERVAL_SECONDS)


def prefix_hashes(body: bytes) -> tuple[int, ...]:
    """Return one hash for each leading block of a request, shortest first.

    Each hash covers its block and all blocks before it.

    :param body: the request body as the caller sent it.
    """
    count = min(len(body) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    digest = xxhash.xxh64()
    block_hashes = []
    for block_index in range(count):
        start = block_index * PREFIX_BLOCK_BYTES
        digest.update(body[start : start + PREFIX_BLOCK_BYTES])
        block_hashes.append(digest.intdigest())
    return tuple(block_hashes)
