"""Steps for what one process believes of the others."""

import dataclasses
import random

import behave

from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_core import rendezvous
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import member
from kingcupfront_peer import membership
from kingcupfront_peer import pause
from kingcupfront_peer import views


def make(name, place='east', incarnation=1, counter=0, state='live'):
    where = address.Address('127.0.0.1', 1)
    return member.Member(
        name, where, place, incarnation, member.State(state), counter
    )


def own_membership(*others):
    item = membership.Membership(make('a'), random.Random(1))
    item.update_seeds([make(o.instance, incarnation=0) for o in others], 0.0)
    for other in others:
        item.apply_ack(heartbeat_message.Heartbeat(other), 0.0)
    return item


@behave.given(
    'a membership that knows "{name}" at incarnation {incarnation:d} '
    'counter {counter:d} as {state}'
)
def known(context, name, incarnation, counter, state):
    context.now = 0.0
    told = make(name, 'east', incarnation, counter, state)
    context.membership = own_membership(dataclasses.replace(told, counter=0))
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(make('c'), others=(told,)), 0.0
    )


@behave.given('a membership of {count:d} live members')
def live_members(context, count):
    context.now = 0.0
    names = [f'm{n}' for n in range(count)]
    context.membership = own_membership(*(make(n) for n in names))


@behave.when(
    'a peer states "{name}" at incarnation {incarnation:d} '
    'counter {counter:d} as {state}'
)
def stated(context, name, incarnation, counter, state):
    told = make(name, 'east', incarnation, counter, state)
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(make('c'), others=(told,)), 1.0
    )


@behave.then(
    'it believes that "{name}" is {state} at incarnation {incarnation:d}'
)
def believed(context, name, state, incarnation):
    item = context.membership.members_by_id[name]
    assert (str(item.state), item.incarnation) == (state, incarnation), item


@behave.when('"{name}" sends a heartbeat at incarnation {incarnation:d}')
def heartbeat(context, name, incarnation):
    item = heartbeat_message.Heartbeat(make(name, incarnation=incarnation))
    context.membership.apply_heartbeat(item, 1.0)


@behave.when('"{name}" answers a probe at incarnation {incarnation:d}')
def answered(context, name, incarnation):
    item = heartbeat_message.Heartbeat(make(name, incarnation=incarnation))
    context.membership.apply_ack(item, 1.0)


@behave.when('probes of "{name}" fail and {seconds:d} seconds pass')
def probes_fail(context, name, seconds):
    context.membership.apply_probe_failure(name, context.now)
    pass_time(context, seconds)


@behave.when('{seconds:d} seconds pass')
def pass_time(context, seconds):
    context.now += seconds
    context.membership.expire_suspects(context.now)
    context.membership.refresh_view(context.now)


@behave.when('a peer says that the process itself is {state}')
def accused(context, state):
    context.before = context.membership.own
    told = dataclasses.replace(context.before, state=member.State(state))
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(make('c'), others=(told,)), 1.0
    )


@behave.when('a peer says that an earlier incarnation of the process is dead')
def accused_old(context):
    context.before = context.membership.own
    told = dataclasses.replace(
        context.before, incarnation=0, counter=9, state=member.State.DEAD
    )
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(make('c'), others=(told,)), 1.0
    )


@behave.then('the process states that it is live with a higher counter')
def refuted(context):
    own = context.membership.own
    assert own.state is member.State.LIVE
    assert own.counter > context.before.counter


@behave.then('the process states that it is live with the same counter')
def not_refuted(context):
    assert context.membership.own == context.before


@behave.when('the process was paused')
def was_paused(context):
    context.membership.apply_pause(100.0)


@behave.then('the view is not trusted')
def not_trusted(context):
    assert not context.membership.trusted


@behave.when('{count:d} members answer probes')
def answer(context, count):
    for item in context.membership.live()[:count]:
        context.membership.apply_ack(heartbeat_message.Heartbeat(item), 101.0)


@behave.then('the view is trusted')
def trusted(context):
    assert context.membership.trusted


@behave.when(
    'views are chosen in a fleet of {fleet:d} members in {places:d} places'
)
def choose_views(context, fleet, places):
    context.fleet = [make(f'e{n}', f'p{n % places}') for n in range(fleet)]
    context.views = {
        own.instance: views.select_view(
            own, [m for m in context.fleet if m is not own]
        )
        for own in context.fleet
    }


@behave.then('each view holds at most {limit:d} members and every place')
def view_sizes(context, limit):
    places = {m.instance: m.place for m in context.fleet}
    for name, view in context.views.items():
        assert len(view) <= limit, (name, len(view))
        seen = {places[n] for n in view} | {places[name]}
        assert seen == set(places.values()), (name, seen)


@behave.then('every member is reached over the views from any other')
def connected(context):
    reached, todo = set(), ['e0']
    while todo:
        name = todo.pop()
        if name not in reached:
            reached.add(name)
            todo.extend(context.views[name])
    assert len(reached) == len(context.fleet)


@behave.then('a heartbeat to "{name}" says that it is {state}')
def told(context, name, state):
    sample = context.membership.select_records(name)
    assert [str(m.state) for m in sample if m.instance == name] == [state]


@behave.when(
    'the clock stands still for 0.9, 1.1 and 60 seconds between ticks'
)
def check_for_pause(context):
    time = clock.ManualClock()
    context.pause = pause.PauseDetector(time)
    for seconds in (0.9, 1.1, 60):
        time.advance(seconds)
        context.pause.check_for_pause()
        context.pause.check_for_pause()


@behave.then('{count:d} pauses are counted')
def pauses(context, count):
    assert context.pause.count == count


@behave.when('3 of 40 names are ranked for 50 keys and one name leaves')
def rank_names(context):
    names = [f'n{n}' for n in range(40)]
    keys = [f'k{n}' for n in range(50)]
    context.before = {k: rendezvous.rank(k, names)[:3] for k in keys}
    context.after = {k: rendezvous.rank(k, names[1:])[:3] for k in keys}


@behave.then('only the keys that it owned have another owner')
def owners(context):
    for key, before in context.before.items():
        moved = context.after[key] != before
        assert moved == ('n0' in before), key
