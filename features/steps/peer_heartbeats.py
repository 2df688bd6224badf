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
    """One process's peer code in a block of its own."""

    def __init__(self, name, place, where=LOOPBACK):
        self.name, self.place = name, place
        self.stack = contextlib.ExitStack()
        self.link = link.Link(name, codec.Codec(['secret']))
        self.address = self.stack.enter_context(self.link.listening(where))
        self.beats = heartbeats.HeartbeatProtocol(
            self.link, place, rng=random.Random(name)
        )
        self.membership = self.beats.membership
        self.blocked = set()
        self.got = []
        self.beats.notices.topics.register('test')(self.take)
        transmit = self.beats.datagrams.send_frame
        self.beats.datagrams.send_frame = lambda to, frame: (
            None if to in self.blocked else transmit(to, frame)
        )
        self.stack.enter_context(self.beats.running(self.address))

    def take(self, body):
        self.got.append(body)
        return True

    def state_of(self, name):
        item = self.membership.members_by_id.get(name)
        return item and str(item.state)


def everyone(context, state):
    names = {n.name for n in context.nodes}
    return all(
        node.state_of(name) == state
        for node in context.nodes
        for name in names - {node.name}
    )


def seed(context):
    rows = [
        dataclasses.replace(n.membership.own, incarnation=0)
        for n in context.nodes
    ]
    for node in context.nodes:
        node.membership.update_seeds(rows, time.monotonic())


@behave.given('{count:d} processes with heartbeats in {places:d} places')
def start_nodes(context, count, places):
    context.nodes = []
    for n in range(count):
        context.nodes.append(Node(f'n{n + 1}', f'p{n % places}'))
        context.stack.callback(lambda n=n: context.nodes[n].stack.close())
    seed(context)


@behave.when('heartbeats of process {n:d} stop')
def stop_node(context, n):
    context.nodes[n - 1].stack.close()


@behave.then('all others believe that process {n:d} is {state}')
def all_believe(context, n, state):
    others = [x for x in context.nodes if x.name != f'n{n}']
    fleet.until(
        lambda: all(x.state_of(f'n{n}') == state for x in others),
        f'all believe {state}',
        seconds=60,
    )


@behave.when('process {n:d} starts again with a new incarnation')
def restart(context, n):
    old = context.nodes[n - 1]
    context.nodes[n - 1] = Node(old.name, old.place, old.address)
    seed(context)


@behave.then('all others know process {n:d} by its new incarnation')
def new_incarnation(context, n):
    node = context.nodes[n - 1]
    others = [x for x in context.nodes if x is not node]

    def known():
        found = [x.membership.members_by_id[node.name] for x in others]
        return all(
            m.incarnation == node.link.incarnation
            and m.state is member.State.LIVE
            for m in found
        )

    fleet.until(known, 'the new incarnation is live', seconds=60)


@behave.when('datagrams from process 1 to process 2 are lost {ways}')
def cut(context, ways):
    one, two = context.nodes[:2]
    one.blocked.add(two.address)
    if ways == 'both ways':
        two.blocked.add(one.address)


@behave.when('{seconds:d} seconds of heartbeats pass')
def pass_heartbeats(context, seconds):
    context.dead = 0
    for _ in range(seconds * 10):
        gevent.sleep(0.1)
        context.dead += sum(
            m.state is member.State.DEAD
            for node in context.nodes
            for m in node.membership.members_by_id.values()
        )


@behave.then('no process believes that another is dead')
def none_dead(context):
    assert context.dead == 0, context.dead


@behave.when(
    'processes 1 to {n:d} are cut off from the rest until they are dead to '
    'them'
)
def partition(context, n):
    left, right = context.nodes[:n], context.nodes[n:]
    for a in left:
        for b in right:
            a.blocked.add(b.address)
            b.blocked.add(a.address)
    fleet.until(
        lambda: all(b.state_of(a.name) == 'dead' for a in left for b in right),
        'the cut off are dead',
        seconds=90,
    )


@behave.when('the partition heals')
def heal(context):
    for node in context.nodes:
        node.blocked.clear()
    context.healed_at = time.monotonic()
    context.sent = [n.beats.datagrams.traffic.sent for n in context.nodes]


@behave.then('every process believes that all are live')
def all_live(context):
    fleet.until(lambda: everyone(context, 'live'), 'all are live', seconds=120)


@behave.then(
    'no process sent more than {rate:d} datagrams a second after the heal'
)
def no_flood(context, rate):
    seconds = time.monotonic() - context.healed_at + 1
    for node, before in zip(context.nodes, context.sent, strict=True):
        sent = node.beats.datagrams.traffic.sent - before
        assert sent <= rate * seconds, (node.name, sent, seconds)


@behave.when('{count:d} random datagrams are sent to each process')
def random_datagrams(context, count):
    rng = random.Random(5)
    for node in context.nodes:
        for _ in range(count):
            data = rng.randbytes(rng.randrange(1, 200))
            node.beats.datagrams.handle_datagram(data, ('127.0.0.1', 9))


@behave.then('each process refused {count:d} frames')
def refused(context, count):
    for node in context.nodes:
        assert node.link.refused_frames == count, node.link.refused_frames


@behave.when('process {n:d} tells "{text}" to all')
def tell(context, n, text):
    fleet.until(lambda: everyone(context, 'live'), 'all are live')
    context.teller = context.nodes[n - 1]
    context.teller.beats.notices.broadcast('test', text.encode())


@behave.then('every process got it once')
def got_once(context):
    others = [n for n in context.nodes if n is not context.teller]
    fleet.until(lambda: all(n.got for n in others), 'all got it')
    gevent.sleep(2)
    assert all(n.got == [b'news'] for n in others), [n.got for n in others]


@behave.when('process {n:d} says that it is leaving')
def leave(context, n):
    fleet.until(lambda: everyone(context, 'live'), 'all are live')
    context.nodes[n - 1].beats.leave()
