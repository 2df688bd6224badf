"""Runs the exchange of state between this entry and its peers."""

from collections.abc import Iterator
import contextlib

import gevent

from kingcupfront_core import address
from kingcupfront_entry import distribution
from kingcupfront_entry import exchange
from kingcupfront_entry import instance_list_sync
from kingcupfront_entry import leaving
from kingcupfront_entry import orders
from kingcupfront_entry import routing
from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_order import client
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import heartbeats

PIN_INTERVAL_SECONDS = 1.0
SEED_PROBE_INTERVAL_SECONDS = 2.0


@contextlib.contextmanager
def running(process: state.State, where: address.Address) -> Iterator[None]:
    """Exchange state with peers while the block runs.

    Heartbeats, the configuration, the instance list and the signs of leaving
    targets are exchanged, and engines get their orders.

    :param process: the state of the process, to which the components are
        added.
    :param where: the address of this process's peer listener.
    """
    heartbeat_protocol = heartbeats.HeartbeatProtocol(
        process.link, process.settings.place, time=process.clock
    )
    configuration = distribution.ConfigurationDistribution(
        process.link, heartbeat_protocol, process.in_force, process.clock
    )
    instance_list = instance_list_sync.InstanceListSync(
        process.link, heartbeat_protocol, process.clock
    )
    leaving_targets = leaving.LeavingTargets(
        heartbeat_protocol.notices, process.clock
    )
    process.components_by_name |= {
        'peers': heartbeat_protocol,
        'configuration': configuration,
        'list': instance_list,
        'leaving': leaving_targets,
        'orders': orders.Orders(
            process, leaving_targets, client.OrderClient()
        ),
    }
    configuration.is_list_known = lambda: instance_list.index > 0
    targets.subscribe(process, instance_list, leaving_targets)
    routing.subscribe(process, heartbeat_protocol)
    heartbeat_protocol.summarize = lambda: heartbeat_message.Summary(
        process.in_force.revision,
        process.in_force.digest,
        instance_list.index,
        routing.team_usage(process),
    )
    with heartbeat_protocol.running(where):
        tasks = [
            gevent.spawn(configuration.follow_peers),
            gevent.spawn(instance_list.follow_peers),
            gevent.spawn(pin_watchers, heartbeat_protocol),
            gevent.spawn(
                routing.follow_entry_count, process, heartbeat_protocol
            ),
            gevent.spawn(_probe_seeds, process, heartbeat_protocol),
            gevent.spawn(process.components_by_name['orders'].follow),
        ]
        try:
            yield
        finally:
            gevent.killall(tasks)


def pin_watchers(heartbeat_protocol: heartbeats.HeartbeatProtocol) -> None:
    """Keep the watchers of the own data centre in the view, for ever.

    :param heartbeat_protocol: the heartbeats, with the membership.
    """
    membership = heartbeat_protocol.membership
    while True:
        membership.pinned = frozenset(
            membership.owners(
                exchange.WATCHERS_KEY,
                membership.own.place,
                exchange.WATCHERS_PER_PLACE,
            )
        )
        gevent.sleep(PIN_INTERVAL_SECONDS)


def _probe_seeds(
    process: state.State, heartbeat_protocol: heartbeats.HeartbeatProtocol
) -> None:
    while process.settings.seeds:
        if not heartbeat_protocol.membership.live():
            for where in process.settings.seeds:
                heartbeat_protocol.probe_address(where)
        gevent.sleep(SEED_PROBE_INTERVAL_SECONDS)
