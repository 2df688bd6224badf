"""Steps for the queue at the entry."""

import behave

from kingcupfront_route import fair_queue
from kingcupfront_route import placement
from kingcupfront_route import routing_request


def _waiting(team, deadline):
    work = routing_request.RoutingRequest(
        'id', team, 'generate', 'p', deadline=deadline
    )
    return placement.Placement(work, queue_deadline=deadline)


@behave.given(
    'a router queue with {a:d} jobs of team a and {b:d} jobs of team b'
)
def two_teams(context, a, b):
    context.queue = fair_queue.FairQueue()
    for team, count in (('a', a), ('b', b)):
        for number in range(count):
            assert context.queue.push(_waiting(team, number)) is None


@behave.when(
    'the router queue serves {count:d} jobs with weights {a:d} and {b:d}'
)
def serve(context, count, a, b):
    weights = {'a': a, 'b': b}
    context.served = []
    for _ in range(count):
        item = next(context.queue.head_placements(1))
        context.queue.pop(item, 100, weights[item.request.team])
        context.served.append(item.request.team)


@behave.then('the router queue served {count:d} jobs of team a')
def served(context, count):
    assert context.served.count('a') == count, context.served


@behave.given('a router queue with jobs due at {a:d}, {b:d} and {c:d} seconds')
def deadlines(context, a, b, c):
    context.queue = fair_queue.FairQueue()
    for deadline in (a, b, c):
        context.queue.push(_waiting('a', deadline))


@behave.then(
    'the router queue gives the jobs due at {a:d}, {b:d} and {c:d} seconds'
)
def order(context, a, b, c):
    for deadline in (a, b, c):
        item = next(context.queue.head_placements(1))
        assert item.request.deadline == deadline, item
        context.queue.pop(item, 100, 1)
    assert not context.queue


@behave.given(
    'a router queue of {size:d} places with {count:d} jobs of team a'
)
def small(context, size, count):
    context.queue = fair_queue.FairQueue(size)
    for number in range(count):
        context.queue.push(_waiting('a', number))


@behave.when('a job of team b enters the router queue')
def enter(context):
    context.dropped = context.queue.push(_waiting('b', 0))


@behave.then('a job of team a left the router queue')
def left(context):
    assert context.dropped.request.team == 'a'
    assert context.dropped.request.deadline == 3
    assert context.queue.queued_by_team() == {'a': 3, 'b': 1}


@behave.then(
    '{count:d} jobs have expired in the router queue at {now:d} seconds'
)
def expired(context, count, now):
    assert len(context.queue.pop_expired(now)) == count
