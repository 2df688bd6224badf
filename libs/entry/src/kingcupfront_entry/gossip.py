"""What one entry hears from the others, put together."""

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
SEED_INTERVAL_SECONDS = 2.0


@contextlib.contextmanager
def running(process: state.State, where: address.Address) -> Iterator[None]:
    """Exchange heartbeats, sets, lists and signs while the block runs.

    :param process: the process; its parts by name are added.
    :param where: the address of the own peer listener.
    """
    beats = heartbeats.HeartbeatProtocol(
        process.link, process.settings.place, time=process.clock
    )
    spread = distribution.ConfigurationDistribution(
        process.link, beats, process.in_force, process.clock
    )
    rows = instance_list_sync.InstanceListSync(
        process.link, beats, process.clock
    )
    signs = leaving.LeavingTargets(beats.notices, process.clock)
    process.components_by_name |= {
        'peers': beats,
        'configuration': spread,
        'list': rows,
        'leaving': signs,
        'orders': orders.Orders(process, signs, client.OrderClient()),
    }
    spread.is_list_known = lambda: rows.index > 0
    targets.subscribe(process, rows, signs)
    routing.subscribe(process, beats)
    beats.summarize = lambda: heartbeat_message.Summary(
        process.in_force.revision,
        process.in_force.digest,
        rows.index,
        routing.team_usage(process),
    )
    with beats.running(where):
        tasks = [
            gevent.spawn(spread.follow_peers),
            gevent.spawn(rows.follow_peers),
            gevent.spawn(pin_watchers, beats),
            gevent.spawn(routing.follow_entry_count, process, beats),
            gevent.spawn(_contact_seeds, process, beats),
            gevent.spawn(process.components_by_name['orders'].follow),
        ]
        try:
            yield
        finally:
            gevent.killall(tasks)


def pin_watchers(beats: heartbeats.HeartbeatProtocol) -> None:
    """Keep an eye on the watchers of the own place, for ever.

    :param beats: the membership.
    """
    membership = beats.membership
    while True:
        membership.pinned = frozenset(
            membership.owners(
                exchange.WATCHERS_KEY,
                membership.own.place,
                exchange.WATCHERS_PER_PLACE,
            )
        )
        gevent.sleep(PIN_INTERVAL_SECONDS)


def _contact_seeds(
    process: state.State, beats: heartbeats.HeartbeatProtocol
) -> None:
    while process.settings.seeds:
        if not beats.membership.live():
            for where in process.settings.seeds:
                beats.probe_address(where)
        gevent.sleep(SEED_INTERVAL_SECONDS)
