"""Steps for the queue of an entry."""

import behave

from kingcupfront_route import fair_queue
from kingcupfront_route import placement
from kingcupfront_route import routing_request


def _waiting(team, deadline):
    request = routing_request.RoutingRequest(
        'id', team, 'generate', 'p', deadline=deadline
    )
    return placement.Placement(request, queue_deadline=deadline)


@behave.given(
    'a router queue with {a:d} requests of team a and {b:d} of team b'
)
def given_two_teams(context, a, b):
    context.queue = fair_queue.FairQueue()
    for team, count in (('a', a), ('b', b)):
        for deadline in range(count):
            assert context.queue.push(_waiting(team, deadline)) is None


@behave.when(
    'the router queue serves {count:d} requests with weights {a:d} and {b:d}'
)
def serve(context, count, a, b):
    weights_by_team = {'a': a, 'b': b}
    context.served_teams = []
    for _ in range(count):
        head = next(context.queue.head_placements(1))
        context.queue.pop(head, 100, weights_by_team[head.request.team])
        context.served_teams.append(head.request.team)


@behave.then('the router queue served {count:d} requests of team a')
def check_served(context, count):
    assert context.served_teams.count('a') == count, context.served_teams


@behave.given(
    'a router queue with requests due at {a:d}, {b:d} and {c:d} seconds'
)
def given_deadlines(context, a, b, c):
    context.queue = fair_queue.FairQueue()
    for deadline in (a, b, c):
        context.queue.push(_waiting('a', deadline))


@behave.then(
    'the router queue serves the requests due at {a:d}, {b:d} and {c:d}'
    ' seconds'
)
def check_order(context, a, b, c):
    for deadline in (a, b, c):
        head = next(context.queue.head_placements(1))
        assert head.request.deadline == deadline, head
        context.queue.pop(head, 100, 1)
    assert not context.queue


@behave.given(
    'a router queue of at most {size:d} requests with {count:d} of team a'
)
def given_full(context, size, count):
    context.queue = fair_queue.FairQueue(size)
    for deadline in range(count):
        context.queue.push(_waiting('a', deadline))


@behave.when('a request of team b enters the router queue')
def push_other_team(context):
    context.dropped = context.queue.push(_waiting('b', 0))


@behave.then('a request of team a was dropped from the router queue')
def check_dropped(context):
    assert context.dropped.request.team == 'a'
    assert context.dropped.request.deadline == 3
    assert context.queue.queued_by_team() == {'a': 3, 'b': 1}


@behave.then(
    '{count:d} requests have expired in the router queue at {now:d} seconds'
)
def check_expired(context, count, now):
    assert len(context.queue.pop_expired(now)) == count
