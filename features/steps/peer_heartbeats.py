"""Steps for heartbeats over real sockets."""

import contextlib
import dataclasses
import random
import time

import behave
import gevent

from features.support import fleet
from kingcupfront_core import address
from kingcupfront_peer import codec
from kingcupfront_peer import heartbeats
from kingcupfront_peer import link
from kingcupfront_peer import member

LOOPBACK = address.Address('127.0.0.1', 0)


class Node:
    """The link and the heartbeat protocol of one process."""

    def __init__(self, name, place, where=LOOPBACK):
        self.name, self.place = name, place
        self.stack = contextlib.ExitStack()
        self.link = link.Link(name, codec.Codec(['secret']))
        self.address = self.stack.enter_context(self.link.listening(where))
        self.heartbeats = heartbeats.HeartbeatProtocol(
            self.link, place, rng=random.Random(name)
        )
        self.membership = self.heartbeats.membership
        self.blocked_addresses = set()
        self.notices = []
        self.heartbeats.notices.topics.register('test')(self.receive)
        transmit = self.heartbeats.datagrams.send_frame
        self.heartbeats.datagrams.send_frame = lambda to, frame: (
            None if to in self.blocked_addresses else transmit(to, frame)
        )
        self.stack.enter_context(self.heartbeats.running(self.address))

    def receive(self, body):
        self.notices.append(body)
        return True

    def state_of(self, name):
        item = self.membership.members_by_id.get(name)
        return item and str(item.state)


def all_in_state(context, state):
    names = {n.name for n in context.nodes}
    return all(
        node.state_of(name) == state
        for node in context.nodes
        for name in names - {node.name}
    )


def update_seeds(context):
    rows = [
        dataclasses.replace(n.membership.own, incarnation=0)
        for n in context.nodes
    ]
    for node in context.nodes:
        node.membership.update_seeds(rows, time.monotonic())


@behave.given('{count:d} processes with heartbeats in {places:d} data centres')
def start_nodes(context, count, places):
    context.nodes = []
    for n in range(count):
        context.nodes.append(Node(f'n{n + 1}', f'p{n % places}'))
        context.stack.callback(lambda n=n: context.nodes[n].stack.close())
    update_seeds(context)


@behave.when('heartbeats of process {n:d} stop')
def stop_node(context, n):
    context.nodes[n - 1].stack.close()


@behave.then('all others see process {n:d} as {state}')
def others_see(context, n, state):
    others = [x for x in context.nodes if x.name != f'n{n}']
    fleet.until(
        lambda: all(x.state_of(f'n{n}') == state for x in others),
        f'all others see process {n} as {state}',
        seconds=60,
    )


@behave.when('process {n:d} restarts with a new incarnation')
def restart_node(context, n):
    old = context.nodes[n - 1]
    context.nodes[n - 1] = Node(old.name, old.place, old.address)
    update_seeds(context)


@behave.then('all others know process {n:d} by its new incarnation')
def incarnation_known(context, n):
    node = context.nodes[n - 1]
    others = [x for x in context.nodes if x is not node]

    def known():
        records = [x.membership.members_by_id[node.name] for x in others]
        return all(
            m.incarnation == node.link.incarnation
            and m.state is member.State.LIVE
            for m in records
        )

    fleet.until(
        known, f'the new incarnation of process {n} is live', seconds=60
    )


@behave.when('datagrams from process 1 to process 2 are lost {ways}')
def lose_datagrams(context, ways):
    one, two = context.nodes[:2]
    one.blocked_addresses.add(two.address)
    if ways == 'both ways':
        two.blocked_addresses.add(one.address)


@behave.when('the processes exchange heartbeats for {seconds:d} seconds')
def exchange_heartbeats(context, seconds):
    context.dead_seen = 0
    for _ in range(seconds * 10):
        gevent.sleep(0.1)
        context.dead_seen += sum(
            m.state is member.State.DEAD
            for node in context.nodes
            for m in node.membership.members_by_id.values()
        )


@behave.then('no process has seen another as dead')
def none_dead(context):
    assert context.dead_seen == 0, context.dead_seen


@behave.when(
    'processes 1 to {n:d} are partitioned off until the rest see them as dead'
)
def partition(context, n):
    left, right = context.nodes[:n], context.nodes[n:]
    for a in left:
        for b in right:
            a.blocked_addresses.add(b.address)
            b.blocked_addresses.add(a.address)
    fleet.until(
        lambda: all(b.state_of(a.name) == 'dead' for a in left for b in right),
        f'processes 1 to {n} are dead to the rest',
        seconds=90,
    )


@behave.when('the partition heals')
def heal_partition(context):
    for node in context.nodes:
        node.blocked_addresses.clear()
    context.healed_at = time.monotonic()
    context.sent = [n.heartbeats.datagrams.traffic.sent for n in context.nodes]


@behave.then('every process sees all others as live')
def all_live(context):
    fleet.until(
        lambda: all_in_state(context, 'live'),
        'all others are live',
        seconds=120,
    )


@behave.then(
    'no process sent more than {rate:d} datagrams per second after healing'
)
def datagram_rate_bounded(context, rate):
    seconds = time.monotonic() - context.healed_at + 1
    for node, before in zip(context.nodes, context.sent, strict=True):
        sent = node.heartbeats.datagrams.traffic.sent - before
        assert sent <= rate * seconds, (node.name, sent, seconds)


@behave.when('{count:d} random datagrams are sent to each process')
def send_random_datagrams(context, count):
    rng = random.Random(5)
    for node in context.nodes:
        for _ in range(count):
            data = rng.randbytes(rng.randrange(1, 200))
            node.heartbeats.datagrams.handle_datagram(data, ('127.0.0.1', 9))


@behave.then('each process refused {count:d} frames')
def frames_refused(context, count):
    for node in context.nodes:
        assert node.link.refused_frames == count, node.link.refused_frames


@behave.when('process {n:d} broadcasts the notice "{text}"')
def broadcast_notice(context, n, text):
    fleet.until(lambda: all_in_state(context, 'live'), 'all others are live')
    context.sender = context.nodes[n - 1]
    context.sender.heartbeats.notices.broadcast('test', text.encode())


@behave.then('every other process receives the notice once')
def notice_received_once(context):
    others = [n for n in context.nodes if n is not context.sender]
    fleet.until(
        lambda: all(n.notices for n in others),
        'all others received the notice',
    )
    gevent.sleep(2)
    assert all(n.notices == [b'news'] for n in others), [
        n.notices for n in others
    ]


@behave.when('process {n:d} leaves')
def leave(context, n):
    fleet.until(lambda: all_in_state(context, 'live'), 'all others are live')
    context.nodes[n - 1].heartbeats.leave()
