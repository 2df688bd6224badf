"""Steps for the distribution of sets among nodes that run the peer code."""

import random
import zlib

import behave
import gevent

from features.support import fleet
from kingcupfront_bench import nodes
from kingcupfront_config import in_force
from kingcupfront_config import lineage
from kingcupfront_peer import codec


def digests_in_force(context):
    return {node.held.digest for node in context.nodes}


def start_node(context, name, place, service):
    node = nodes.Node(name, place, service)
    return context.stack.enter_context(node.running())


@behave.given('{count:d} nodes in {places:d} data centres with set 1 in force')
def start_nodes(context, count, places):
    context.services = [nodes.Service() for _ in range(places)]
    context.nodes = [
        start_node(
            context, f'n{n}', f'p{n % places}', context.services[n % places]
        )
        for n in range(count)
    ]
    nodes.list_all(context.nodes)
    context.first = context.last = nodes.publication(1)
    publish(context, context.first)
    wait_same_set(context, context.first)


def publish(context, data):
    for service in context.services:
        service.publish(data)


def wait_same_set(context, data):
    wanted = in_force.parse(data).lineage.digest
    fleet.until(
        lambda: digests_in_force(context) == {wanted},
        'all nodes have the set in force',
    )


@behave.when(
    '{count:d} times two rival sets are published to different data centres '
    'up to 50 ms apart'
)
def run_races(context, count):
    rng = random.Random(4)
    for revision in range(2, 2 + count):
        rivals = [
            nodes.publication(revision + n, context.last, mark=m)
            for m, n in (('a', 0), ('b', rng.randrange(2)))
        ]
        rng.shuffle(rivals)
        context.services[0].publish(rivals[0])
        gevent.sleep(rng.choice((0, 0, 0.001, 0.005, 0.05)))
        context.services[1].publish(rivals[1])

        def is_settled(rivals=rivals):
            held = digests_in_force(context)
            fresh = {in_force.parse(r).lineage.digest for r in rivals}
            return len(held) == 1 and held <= fresh

        fleet.until(is_settled, f'one rival of race {revision} is in force')
        context.last = context.nodes[0].held.data


@behave.then('after each race the same set is in force on all nodes')
def check_same_set(context):
    assert len(digests_in_force(context)) == 1


@behave.then(
    'no node ever replaced a set by one that does not descend from it'
)
def check_descent(context):
    for node in context.nodes:
        sets = [item for _, item in node.log]
        for before, after in zip(sets, sets[1:], strict=False):
            relation = after.relation(before)
            assert relation is lineage.Relation.DESCENDANT, (before, after)


def reports_refusal(node):
    refusal = node.held.refusal
    return refusal is not None and refusal.digest != node.held.digest


@behave.then('every node reports why the last losing rival was refused')
def check_refusals(context):
    for node in context.nodes:
        fleet.until(
            lambda n=node: reports_refusal(n),
            f'{node.name} reports the refusal',
        )


@behave.when('the data centres are partitioned and {published}')
def partition_places(context, published):
    for a in context.nodes:
        for b in context.nodes:
            if a.place != b.place:
                a.blocked.add(b.address)
    left, right = context.services
    if published.startswith('one side'):
        for revision in (2, 3, 4):
            context.last = nodes.publication(revision, context.last)
            left.publish(context.last)
            wait_in_place(context, 'p0', context.last)
    else:
        context.rivals = [
            nodes.publication(2, context.last, mark=m) for m in 'ab'
        ]
        left.publish(context.rivals[0])
        right.publish(context.rivals[1])
        wait_in_place(context, 'p0', context.rivals[0])
        wait_in_place(context, 'p1', context.rivals[1])


def wait_in_place(context, place, data):
    wanted = in_force.parse(data).lineage.digest
    side = [n for n in context.nodes if n.place == place]
    fleet.until(
        lambda: {n.held.digest for n in side} == {wanted},
        f'{place} has the set in force',
    )


@behave.when('the data centres are connected again')
def reconnect_places(context):
    for node in context.nodes:
        node.blocked.clear()


@behave.then('set {revision:d} is in force on all nodes')
def check_set_in_force(context, revision):
    fleet.until(
        lambda: (
            {n.held.revision for n in context.nodes} == {revision}
            and len(digests_in_force(context)) == 1
        ),
        f'set {revision} is in force on all nodes',
        seconds=60,
    )


@behave.then('both sides report a fork')
def check_fork(context):
    fleet.until(
        lambda: (
            {n.place for n in context.nodes if n.spread.forked_from}
            == {'p0', 'p1'}
        ),
        'both sides report a fork',
        seconds=60,
    )


@behave.when('a set made from both rivals is published')
def publish_merged(context):
    publish(context, nodes.publication(3, *context.rivals))


@behave.when(
    'the last set published to the service is a rival of the one in force'
)
def publish_rival(context):
    winner = nodes.publication(2, context.first)
    publish(context, winner)
    wait_same_set(context, winner)
    publish(context, nodes.publication(3, context.first, mark='b'))
    fleet.until(
        lambda: any(reports_refusal(n) for n in context.nodes),
        'the rival is refused',
    )


@behave.when('a node is added')
def add_node(context):
    context.new = start_node(context, 'n99', 'p0', context.services[0])
    nodes.list_all([*context.nodes, context.new])


@behave.then('the new node has the same set in force as the others')
def check_new_node_set(context):
    fleet.until(
        lambda: context.new.held.current, 'the new node has a set in force'
    )
    assert digests_in_force(context) == {context.new.held.digest}


@behave.then('the new node reports why the last losing rival was refused')
def check_new_node_refusal(context):
    fleet.until(
        lambda: reports_refusal(context.new),
        'the new node reports the refusal',
    )


ANSWERS_BY_FAULT = {
    'a digest that is wrong': {'data': zlib.compress(b'{}')},
    'data that is not compressed': {'data': b'{}'},
    'data that inflates to 64 MB': {'data': zlib.compress(bytes(2**26))},
    'an unknown encoding': {'data': zlib.compress(b'{}'), 'encoding': 'x'},
}


@behave.when('a peer answers pulls with {fault}')
def answer_damaged(context, fault):
    bad = context.nodes[0]
    fields = {'revision': 9, 'digest': 'd', 'encoding': 'whole'}
    body = b'junk'
    if fault in ANSWERS_BY_FAULT:
        fields |= ANSWERS_BY_FAULT[fault]
        body = codec.schema.SetAnswer.new_message(**fields).to_bytes()
    asked = []
    bad.link.handlers.register('set')(lambda m: asked.append(m) or body)
    context.nodes[1].held.listeners.clear()
    summarize = bad.beats.summarize
    bad.beats.summarize = lambda: nodes.heartbeat_message.Summary(9, 'd', 1)
    fleet.until(lambda: len(asked) > 2, 'the damaged set is pulled again')
    bad.beats.summarize = summarize


@behave.then('set 1 stays in force')
def check_set_unchanged(context):
    assert {n.held.revision for n in context.nodes} == {1}
