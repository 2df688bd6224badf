"""Steps for one process's view of the other members."""

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


def build_member(name, place='east', incarnation=1, counter=0, state='live'):
    where = address.Address('127.0.0.1', 1)
    return member.Member(
        name, where, place, incarnation, member.State(state), counter
    )


def build_membership(*others):
    item = membership.Membership(build_member('a'), random.Random(1))
    item.update_seeds(
        [build_member(o.instance, incarnation=0) for o in others], 0.0
    )
    for other in others:
        item.apply_ack(heartbeat_message.Heartbeat(other), 0.0)
    return item


@behave.given(
    'a membership that knows "{name}" at incarnation {incarnation:d} '
    'counter {counter:d} as {state}'
)
def membership_that_knows(context, name, incarnation, counter, state):
    context.now = 0.0
    record = build_member(name, 'east', incarnation, counter, state)
    context.membership = build_membership(
        dataclasses.replace(record, counter=0)
    )
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(build_member('c'), others=(record,)), 0.0
    )


@behave.given('a membership with {count:d} live members')
def membership_with_live_members(context, count):
    context.now = 0.0
    names = [f'm{n}' for n in range(count)]
    context.membership = build_membership(*(build_member(n) for n in names))


@behave.when(
    'a peer reports "{name}" at incarnation {incarnation:d} '
    'counter {counter:d} as {state}'
)
def peer_reports(context, name, incarnation, counter, state):
    record = build_member(name, 'east', incarnation, counter, state)
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(build_member('c'), others=(record,)), 1.0
    )


@behave.then(
    'the membership holds "{name}" as {state} at incarnation {incarnation:d}'
)
def membership_holds(context, name, state, incarnation):
    record = context.membership.members_by_id[name]
    assert (str(record.state), record.incarnation) == (
        state,
        incarnation,
    ), record


@behave.when('"{name}" sends a heartbeat at incarnation {incarnation:d}')
def receive_heartbeat(context, name, incarnation):
    heartbeat = heartbeat_message.Heartbeat(
        build_member(name, incarnation=incarnation)
    )
    context.membership.apply_heartbeat(heartbeat, 1.0)


@behave.when('"{name}" answers a probe at incarnation {incarnation:d}')
def receive_ack(context, name, incarnation):
    heartbeat = heartbeat_message.Heartbeat(
        build_member(name, incarnation=incarnation)
    )
    context.membership.apply_ack(heartbeat, 1.0)


@behave.when('probes of "{name}" fail and {seconds:d} seconds pass')
def probes_fail(context, name, seconds):
    context.membership.apply_probe_failure(name, context.now)
    pass_time(context, seconds)


@behave.when('{seconds:d} seconds pass')
def pass_time(context, seconds):
    context.now += seconds
    context.membership.expire_suspects(context.now)
    context.membership.refresh_view(context.now)


@behave.when('a peer reports the process itself as {state}')
def peer_reports_own_process(context, state):
    context.before = context.membership.own
    record = dataclasses.replace(context.before, state=member.State(state))
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(build_member('c'), others=(record,)), 1.0
    )


@behave.when('a peer reports an earlier incarnation of the process as dead')
def peer_reports_earlier_incarnation(context):
    context.before = context.membership.own
    record = dataclasses.replace(
        context.before, incarnation=0, counter=9, state=member.State.DEAD
    )
    context.membership.apply_heartbeat(
        heartbeat_message.Heartbeat(build_member('c'), others=(record,)), 1.0
    )


@behave.then('the process reports itself live with a higher counter')
def refuted(context):
    own = context.membership.own
    assert own.state is member.State.LIVE
    assert own.counter > context.before.counter


@behave.then('the process reports itself live with the same counter')
def not_refuted(context):
    assert context.membership.own == context.before


@behave.when('the process was paused')
def pause_process(context):
    context.membership.apply_pause(100.0)


@behave.then('the view is not trusted')
def not_trusted(context):
    assert not context.membership.trusted


@behave.when('{count:d} members answer probes')
def members_answer(context, count):
    for item in context.membership.live()[:count]:
        context.membership.apply_ack(heartbeat_message.Heartbeat(item), 101.0)


@behave.then('the view is trusted')
def trusted(context):
    assert context.membership.trusted


@behave.when(
    'views are selected in a fleet of {fleet:d} members in {places:d} '
    'data centres'
)
def select_views(context, fleet, places):
    context.fleet = [
        build_member(f'e{n}', f'p{n % places}') for n in range(fleet)
    ]
    context.views = {
        own.instance: views.select_view(
            own, [m for m in context.fleet if m is not own]
        )
        for own in context.fleet
    }


@behave.then(
    'each view holds at most {limit:d} members and covers every data centre'
)
def view_sizes(context, limit):
    places = {m.instance: m.place for m in context.fleet}
    for name, view in context.views.items():
        assert len(view) <= limit, (name, len(view))
        seen = {places[n] for n in view} | {places[name]}
        assert seen == set(places.values()), (name, seen)


@behave.then('every member can be reached over the views from the first')
def views_connected(context):
    reached, pending = set(), ['e0']
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending.extend(context.views[name])
    assert len(reached) == len(context.fleet)


@behave.then('a heartbeat to "{name}" reports it as {state}')
def heartbeat_reports(context, name, state):
    records = context.membership.select_records(name)
    assert [str(m.state) for m in records if m.instance == name] == [state]


@behave.when('the checks for a pause are 0.9, 1.1 and 60 seconds apart')
def check_for_pause(context):
    time = clock.ManualClock()
    context.pause_detector = pause.PauseDetector(time)
    for seconds in (0.9, 1.1, 60):
        time.advance(seconds)
        context.pause_detector.check_for_pause()
        context.pause_detector.check_for_pause()


@behave.then('{count:d} pauses are counted')
def pauses_counted(context, count):
    assert context.pause_detector.count == count


@behave.when(
    'the first 3 of 40 names are found for 50 keys and one name is removed'
)
def rank_names(context):
    names = [f'n{n}' for n in range(40)]
    keys = [f'k{n}' for n in range(50)]
    context.before = {k: rendezvous.rank(k, names)[:3] for k in keys}
    context.after = {k: rendezvous.rank(k, names[1:])[:3] for k in keys}


@behave.then('only the keys that it owned have other owners')
def only_own_keys_moved(context):
    for key, before in context.before.items():
        moved = context.after[key] != before
        assert moved == ('n0' in before), key
