"""Steps for the order of generations under overload."""

import random

import behave

from features.support import urgency_simulation
from kingcupfront_decisions import crowding
from kingcupfront_decisions import reserve
from kingcupfront_decisions import urgency
from kingcupfront_decisions import waiting_list

SEED = 7
SECONDS = 30
HARDLY_EVER = 0.01
SERVICE = 'engines'
RECENT_REQUESTS = 200


def _rank(text):
    team, _, route = text.partition('/')
    return urgency.Rank(int(team), int(route))


@behave.when(
    '{instances:d} instances place drafts and checks on {engines:d} engines '
    'at {load:f} times the load they bear'
)
def simulate_load(context, instances, engines, load):
    context.runs = {}
    for has_ranks in (False, True):
        simulation = urgency_simulation.UrgencySimulation(
            instances, engines, load, has_ranks=has_ranks, seed=SEED
        )
        simulation.simulate(SECONDS)
        context.runs[has_ranks] = simulation


@behave.then(
    'checks are refused less often than without ranks, or hardly ever'
)
def checks_refused_less(context):
    before = context.runs[False].refused_share('check')
    after = context.runs[True].refused_share('check')
    assert after < before or after < HARDLY_EVER, (before, after)


@behave.then('at most {share:f} of the checks are refused')
def checks_refused_at_most(context, share):
    assert context.runs[True].refused_share('check') <= share, {
        has_ranks: run.refused_share('check')
        for has_ranks, run in context.runs.items()
    }


@behave.then(
    'at least {share:f} of the drafts of a run without ranks are placed'
)
def drafts_placed(context, share):
    before = context.runs[False].placed['draft']
    after = context.runs[True].placed['draft']
    assert after >= share * before, (before, after)


@behave.given(
    'recent checks of {checks:d} tokens with rank "{check_rank}" and drafts '
    'of {drafts:d} tokens with rank "{draft_rank}"'
)
def recent_demand(context, checks, check_rank, drafts, draft_rank):
    context.demand = urgency.Demand()
    for _ in range(RECENT_REQUESTS):
        context.demand.record(SERVICE, _rank(check_rank), checks, 0.0)
        context.demand.record(SERVICE, _rank(draft_rank), drafts, 0.0)


@behave.given('engines of which {part:f} is in use')
def engines_in_use(context, part):
    context.crowding = crowding.Crowding()
    context.crowding.record(SERVICE, [part], 0.0)
    context.crowded_part = context.crowding.reserve_part(SERVICE, 0.0)


@behave.then(
    'the reserve counts by {part:f} at once and by {later:f} after '
    '{seconds:f} s'
)
def reserve_counts(context, part, later, seconds):
    assert abs(context.crowded_part - part) < 1e-6, context.crowded_part
    found = context.crowding.reserve_part(SERVICE, seconds)
    assert abs(found - later) < 1e-6, found


@behave.when(
    'a generation of rank "{rank}" that was read {age:d} s ago with a '
    'deadline of {deadline:d} s and an objective of {objective:d} s is placed '
    'after {seconds:d} s'
)
def place_generation(context, rank, age, deadline, objective, seconds):
    read_at = seconds - age
    context.room = reserve.room_to_leave(
        urgency.Urgency(
            _rank(rank),
            read_at + objective,
            read_at + deadline,
            objective,
            read_at,
        ),
        context.demand,
        SERVICE,
        20000,
        context.crowded_part,
        seconds,
    )


@behave.then('it leaves {part:f} of 20000 tokens and {slots:d} slots')
def room_left(context, part, slots):
    assert abs(context.room.memory_part - part) < 0.01, context.room
    assert context.room.slots == slots, context.room


@behave.when('generations "{first}" and "{second}" wait at second {now:d}')
def generations_wait(context, first, second, now):
    lists = waiting_list.WaitingLists()
    context.places = {}
    for text in (first, second):
        name, rank, read_at, objective, deadline = text.split()
        wanted = urgency.Urgency(
            _rank(rank),
            float(read_at) + float(objective),
            float(read_at) + float(deadline),
            float(objective),
            float(read_at),
        )
        urgent_part = context.demand.urgent_part(SERVICE, wanted.rank, now)
        due = wanted.virtual_deadline(urgent_part, now)
        context.places[name] = lists.enter('k', due, lambda: None)


@behave.then('the first in line is "{name}"')
def placed_first(context, name):
    first = [n for n, place in context.places.items() if place.is_first]
    assert first == [name], first


@behave.then(
    'a generation of {tokens:d} tokens with {seconds:f} s left is {outcome}'
)
def finish_in_time(context, tokens, seconds, outcome):
    can_finish = urgency.can_finish(tokens or None, seconds)
    assert can_finish == (outcome == 'accepted'), can_finish


@behave.given('{count:d} requests that wait in random order')
def many_wait(context, count):
    rng = random.Random(SEED)
    context.lists = waiting_list.WaitingLists()
    context.firsts = []
    numbers = list(range(count))
    rng.shuffle(numbers)
    context.place_by_number = {
        n: context.lists.enter('k', n, lambda n=n: context.firsts.append(n))
        for n in numbers
    }


@behave.when('they leave, some of them out of turn')
def leave_out_of_turn(context):
    rng = random.Random(SEED)
    context.waiting = dict(context.place_by_number)
    while context.waiting:
        first = min(context.waiting)
        assert context.waiting[first].is_first
        others_first = [
            n
            for n, place in context.waiting.items()
            if n != first and place.is_first
        ]
        assert not others_first, others_first
        number = rng.choice([first, rng.choice(list(context.waiting))])
        context.lists.leave('k', context.waiting.pop(number))


@behave.then(
    'each of them becomes the first only when all more urgent ones have left'
)
def become_first_in_order(context):
    assert context.firsts == sorted(context.firsts)


@behave.when('all of them leave')
def all_leave(context):
    for place in context.place_by_number.values():
        context.lists.leave('k', place)


@behave.then('no list is left')
def no_list_left(context):
    assert context.lists.count('k') == 0
    assert not context.lists._heaps_by_key
