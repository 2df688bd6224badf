"""Steps for the router of one entry."""

import contextlib
import random
from unittest import mock

import behave
import gevent

from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_route import errors
from kingcupfront_route import router
from kingcupfront_route import routing_request
from kingcupfront_route import target
from kingcupfront_route import team


def _targets(count, slots, **fields):
    return [
        target.Target(
            f't{i}',
            address.Address('127.0.0.1', i + 1),
            'generate',
            'p',
            slots=slots,
            **fields,
        )
        for i in range(count)
    ]


def _request(deadline=float('inf'), number='1'):
    return routing_request.RoutingRequest(
        number, 'a', 'generate', 'p', deadline=deadline
    )


@behave.given('a router with {count:d} targets of {slots:d} slots')
def given_router(context, count, slots):
    context.router = router.Router(rng=random.Random(1))
    context.router.set_targets(_targets(count, slots))
    context.excluded = frozenset()


@behave.when('the router places {count:d} requests')
def place_requests(context, count):
    for _ in range(count):
        context.stack.enter_context(context.router.place(_request()))


@behave.then("each of the router's targets has {count:d} requests")
def check_each(context, count):
    known = context.router.targets_by_id.values()
    assert [t.outstanding for t in known] == [count] * len(known)


@behave.given("the router's situation is {situation}")
def given_situation(context, situation):
    tested = context.router
    if situation == 'no targets':
        tested.set_targets([])
    elif situation == 'all targets leaving':
        tested.set_targets(_targets(3, 2, leaving=True))
    elif situation == 'all targets excluded':
        context.excluded = frozenset(tested.targets_by_id)
    elif situation == 'team at its limit':
        tested.set_teams([team.Team('a', max_concurrent=1)])
        context.stack.enter_context(tested.place(_request()))
    else:
        context.first_block, *context.other_blocks = [
            tested.place(_request()) for _ in range(6)
        ]
        context.placement = context.first_block.__enter__()
        for block in context.other_blocks:
            block.__enter__()


@behave.when('the router is given a request due in {seconds:g} seconds')
def place_due(context, seconds):
    now = context.router._clock.monotonic()
    context.error = None
    try:
        with context.router.place(_request(now + seconds), context.excluded):
            pass
    except errors.RoutingError as error:
        context.error = error


@behave.then('the router raises {name}')
def check_error(context, name):
    assert type(context.error).__name__ == name, repr(context.error)
    if isinstance(context.error, errors.RoutingError):
        assert context.error.retry_after > 0


def _wait_in(context):
    with context.router.place(_request(number='waiting')) as placed:
        context.placed_on = placed.target.id


@behave.when('a request waits in the router and another ends')
def wait_and_end(context):
    waiting = gevent.spawn(_wait_in, context)
    gevent.sleep(0)
    context.first_block.__exit__(None, None, None)
    waiting.join(5)


@behave.then('the waiting request has the freed slot of the router')
def check_slot(context):
    assert context.placed_on == context.placement.target.id


@behave.when('the task of a request that waits in the router is killed')
def kill_waiting(context):
    waiting = gevent.spawn(_wait_in, context)
    gevent.sleep(0)
    waiting.kill()


@behave.then('the router has no request waiting and {count:d} requests placed')
def check_none_waiting(context, count):
    dump = context.router.as_dict()
    assert dump['queued']['generate'] == {}, dump
    placed = sum(t['outstanding'] for t in dump['targets'].values())
    assert placed == count, dump


def _fail(context, target_id, count):
    others = frozenset(context.router.targets_by_id) - {target_id}
    for _ in range(count):
        with contextlib.suppress(errors.NoTargetError):
            with context.router.place(_request(), others) as placed:
                placed.outcome = outcomes.Outcome.FAILED


@behave.when('target {index:d} of the router fails {count:d} requests')
def fail_one(context, index, count):
    _fail(context, f't{index}', count)


@behave.when(
    'the router is given a request that has tried all but target {index:d}'
)
def place_last(context, index):
    others = frozenset(context.router.targets_by_id) - {f't{index}'}
    with context.router.place(_request(), others) as placed:
        context.placed_on = placed.target.id


@behave.then('the router places it on target {index:d}')
def check_placed_on(context, index):
    assert context.placed_on == f't{index}', context.placed_on


@behave.when('all targets of the router fail {count:d} requests')
def fail_all(context, count):
    for target_id in list(context.router.targets_by_id):
        _fail(context, target_id, count)


@behave.then('target {index:d} of the router has no request')
def check_no_request(context, index):
    assert context.router.targets_by_id[f't{index}'].outstanding == 0


@behave.then("at least {count:d} of the router's targets have requests")
def check_some(context, count):
    known = context.router.targets_by_id.values()
    assert sum(t.outstanding > 0 for t in known) >= count


@behave.then("the router's dump shows target {index:d} with an open circuit")
def check_dump(context, index):
    dump = context.router.as_dict()
    assert dump['targets'][f't{index}']['circuit'] == 'open', dump
    assert dump['policy'].startswith('headroom_v')


@behave.when('the router completes {count:d} requests of {tokens:d} tokens')
def complete(context, count, tokens):
    for _ in range(count):
        with context.router.place(_request()) as placed:
            placed.add_tokens(tokens)
            placed.outcome = outcomes.Outcome.DONE


@behave.then('the router expects about {tokens:d} tokens')
def check_expected(context, tokens):
    estimator = context.router._dispatcher.context.lengths
    found = estimator.expected_remaining('generate', 'a', None)
    assert abs(found - tokens) <= 0.05 * tokens, found


@behave.given('a router of {slots:d} slots whose clock stands still')
def given_stopped_clock(context, slots):
    context.router = router.Router(
        time=clock.ManualClock(), rng=random.Random(1)
    )
    context.router.set_targets(_targets(1, slots))
    place_requests(context, slots)


@behave.when('{count:d} requests wait in the router for four poll intervals')
def wait_polls(context, count):
    dispatch_queued = context.router._dispatcher.dispatch_queued
    with mock.patch.object(
        context.router._dispatcher,
        'dispatch_queued',
        side_effect=dispatch_queued,
    ) as dispatched:
        waiting = [gevent.spawn(_wait_in, context) for _ in range(count)]
        gevent.sleep(4 * router.POLL_INTERVAL_SECONDS)
        context.dispatch_count = dispatched.call_count
        gevent.killall(waiting)


@behave.then('the router dispatched its queue at most {count:d} times')
def check_dispatch_count(context, count):
    assert context.dispatch_count <= count, context.dispatch_count


@behave.when('the router places {count:d} requests that end at once')
def place_and_end(context, count):
    for _ in range(count):
        with context.router.place(_request()) as placed:
            placed.outcome = outcomes.Outcome.DONE


@behave.then('the router grants {granted:d} of {count:d} retries')
def check_retries(context, granted, count):
    delays = [
        context.router.acquire_retry('generate', 0) for _ in range(count)
    ]
    found = [delay for delay in delays if delay is not None]
    assert len(found) == granted, delays


@behave.when(
    "a team's bad request fails {count:d} times on each of the router's"
    ' targets'
)
def fail_bad_requests(context, count):
    for _ in range(count):
        for target_id in list(context.router.targets_by_id):
            _fail(context, target_id, 1)


@behave.then('at most {count:d} circuits of the router are open')
def check_open_circuits(context, count):
    dump = context.router.as_dict()['targets']
    found = sum(item['circuit'] != 'closed' for item in dump.values())
    assert found <= count, dump


def _hold(context, team_name):
    request = routing_request.RoutingRequest('id', team_name, 'generate', 'p')
    with contextlib.suppress(errors.OverloadedError):
        with context.router.place(request):
            context.placed_teams.append(team_name)
            gevent.sleep(60)


@behave.when(
    '{count:d} requests of one team and then one of another wait in the router'
)
def flood(context, count):
    context.placed_teams = []
    teams = ['flooding'] * count + ['other']
    waiting = [gevent.spawn(_hold, context, name) for name in teams]
    context.stack.callback(gevent.killall, waiting)
    gevent.sleep(0)


@behave.when('{count:d} requests of the router end')
def end_some(context, count):
    ended = [context.first_block, *context.other_blocks][:count]
    for block in ended:
        block.__exit__(None, None, None)
        gevent.sleep(0)


@behave.then("the other team's request is placed by the router")
def check_other_placed(context):
    assert 'other' in context.placed_teams[:2], context.placed_teams


@behave.when('the router gets the same list again')
def set_same_list(context):
    context.router.set_targets(_targets(3, 2))


@behave.when(
    'target {index:d} of the router reports number {first:d} and then'
    ' {number:d} with {free:d}'
)
def observe_reports(context, index, first, number, free):
    for value, blocks in ((first, 10), (number, free)):
        report = target.LoadReport(
            value, float(value), free_blocks=blocks, total_blocks=100
        )
        context.router.observe_report(f't{index}', report)


@behave.then(
    'the report of target {index:d} in the router has number {kept:d}'
)
def check_report_number(context, index, kept):
    assert context.router.targets_by_id[f't{index}'].report.number == kept


@behave.when('the router is told to use the policy "{name}"')
def use_policy(context, name):
    try:
        context.router.set_policy(name)
    except core_errors.UnknownNameError as error:
        context.error = error
