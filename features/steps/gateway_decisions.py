"""Steps for the gateway's decisions, with a manual clock."""

import collections
import random

import behave

from kingcupfront_core import address
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import freshness
from kingcupfront_gateway import objects
from kingcupfront_gateway import placement
from kingcupfront_gateway import retry_after
from kingcupfront_gateway import retry_budget
from kingcupfront_gateway import server_sent_events
from kingcupfront_gateway import stopping
from kingcupfront_gateway import targets

SEED = 8
NOW = 1000.0
RATIO = 0.2
WINDOW_SECONDS = 10.0
ENGINE = objects.EngineCapacity(24, 30000, 4, True, True)
SERVICES = {
    'plain': objects.Service('plain', None),
    'engine': objects.Service('engine', ENGINE),
}


@behave.given(
    'keys must not work {seconds:f} seconds after they were taken away, '
    'at a manual clock'
)
@behave.given(
    'keys must not work {seconds:d} seconds after they were taken away, '
    'at a manual clock'
)
def bound(context, seconds):
    context.freshness = freshness.Freshness(float(seconds))


@behave.when('a view is confirmed that was asked for {age:f} seconds ago')
def confirm(context, age):
    context.freshness.confirm(NOW - age)


@behave.then('keys {keys} trusted and what is unknown {unknown} denied')
def trusted(context, keys, unknown):
    assert context.freshness.can_trust_keys(NOW) == (keys == 'are')
    assert context.freshness.can_trust_absence(NOW) == (unknown == 'is')


@behave.when(
    '{instances:d} instances repeat whenever they may, at {rate:f} requests '
    'a second each, for {seconds:d} seconds'
)
def repeat_all(context, instances, rate, seconds):
    rng = random.Random(SEED)
    context.requests, context.repeats = [], []
    for _ in range(instances):
        budget = retry_budget.RetryBudget(RATIO, WINDOW_SECONDS)
        now = NOW + rng.random()
        while now < NOW + seconds:
            if rng.random() < rate * 0.05:
                budget.record_request(now)
                context.requests.append(now)
            while budget.try_acquire(now):
                context.repeats.append(now)
            now += 0.05


@behave.then(
    'in no {window:d} seconds are there more repeats than {ratio:f} of the '
    'requests and {slack:d}'
)
def within_budget(context, window, ratio, slack):
    for start in range(0, 52):
        first, last = NOW + start, NOW + start + window
        repeats = sum(first <= at < last for at in context.repeats)
        requests = sum(first <= at < last for at in context.requests)
        assert repeats <= ratio * requests + slack, (start, repeats, requests)


@behave.given(
    'a process that was told to stop and has {grace:d} seconds until it is '
    'killed'
)
def stopping_process(context, grace):
    context.grace = float(grace)


@behave.then(
    '{seconds:f} seconds later a generation of {tokens:d} tokens is {outcome}'
)
def stop_outcome(context, seconds, tokens, outcome):
    taken = stopping.can_finish(
        stopping.generation_seconds(tokens), NOW, context.grace, NOW + seconds
    )
    assert taken == (outcome == 'taken')


def _target(name, zone, service):
    return objects.Target(
        name, service, address.Address('10.0.0.1', 80), zone, 6
    )


def _targets(context, names, service):
    context.targets = targets.Targets()
    context.targets.set_services(SERVICES)
    for text in names.split():
        name, _, zone = text.partition('@')
        context.targets.upsert(_target(name, zone or 'a', service))
    origin = placement.Origin('a', 'r-a')
    context.placement = placement.Placement(
        origin, {'a': 'r-a', 'b': 'r-b'}, random.Random(SEED)
    )
    context.now = NOW


@behave.given('engines "{names}" for copies')
def engines(context, names):
    _targets(context, names, 'engine')


@behave.given('engine "{name}" seems full')
def full(context, name):
    load = context.targets.by_id[name].load
    load.record_report(objects.LoadReport(8, 0, 0, 29000, 0, False), NOW)


@behave.given('engine "{name}" holds {tokens:d} tokens')
def holds(context, name, tokens):
    load = context.targets.by_id[name].load
    load.record_report(objects.LoadReport(2, 0, 0, tokens, 0, False), NOW)


def _engines(context):
    return list(context.targets.available('engine', NOW))


@behave.when('{count:d} copies of generations on "{name}" are placed')
def place_copies(context, count, name):
    context.source = context.targets.by_id[name].target
    context.chosen = collections.Counter(
        context.placement.choose_backup_engine(
            _engines(context), 3000, context.source
        ).target.id
        for _ in range(count)
    )


@behave.then('all copies are on "{name}"')
def all_on(context, name):
    assert set(context.chosen) == {name}, context.chosen


@behave.then('the ranking for a move is "{names}"')
def ranking(context, names):
    ranked = context.placement.rank_copy_destinations(
        _engines(context), 3000, context.source
    )
    assert [s.target.id for s in ranked] == names.split()


@behave.then('each of "{names}" has at least {count:d} copies')
def each_has(context, names, count):
    assert set(context.chosen) == set(names.split()), context.chosen
    assert min(context.chosen.values()) >= count, context.chosen


@behave.given('plain targets "{names}" for placement')
def plain_targets(context, names):
    _targets(context, names, 'plain')


@behave.given('"{name}" is in use {times:d} times')
def in_use(context, name, times):
    context.targets.by_id[name].in_flight = times


@behave.when('"{name}" fails {times:d} times')
def fails(context, name, times):
    for _ in range(times):
        context.targets.by_id[name].record_result(False, context.now)


@behave.when('{seconds:d} seconds pass for the targets')
def targets_wait(context, seconds):
    context.now += seconds


@behave.then('a plain request goes to "{name}"')
def goes_to(context, name):
    known = context.targets.available('plain', context.now)
    assert context.placement.choose_plain_target(known).target.id == name


@behave.given(
    'an engine of {memory:d} tokens with a report of {used:d} tokens and '
    '{runs:d} runs'
)
def reported_engine(context, memory, used, runs):
    assert ENGINE.memory_tokens == memory
    context.load = engine_load.EngineLoad(ENGINE)
    context.load.record_report(
        objects.LoadReport(runs, 0, 0, used, 0, False), NOW
    )


@behave.when('a run of {prompt:d} and {output:d} tokens is sent to the engine')
def send_run(context, prompt, output):
    context.run = engine_load.TrackedGeneration(prompt, output, NOW + 0.1)
    context.load.generations_by_id['r'] = context.run


@behave.when(
    'the engine reports {used:d} tokens and {runs:d} runs a second later'
)
def report_later(context, used, runs):
    report = objects.LoadReport(runs, 0, 0, used, 0, False)
    context.load.record_report(report, NOW + 1.1)


@behave.then(
    'the engine is taken to need {tokens:d} tokens and {places:d} places'
)
def taken_to_need(context, tokens, places):
    assert context.load.memory_needed() == tokens, context.load.summary(NOW)
    assert context.load.slots_in_use() == places, context.load.summary(NOW)


@behave.when('the stream "{text}" comes in pieces of {size:d} bytes')
def pieces(context, text, size):
    lines = text.replace('::', '\n\n').replace('1:d', '1\nd')
    data = lines.replace('2:d', '2\nd').encode()
    context.blocks = server_sent_events.Splitter()
    context.events = []
    for at in range(0, len(data), size):
        context.events += context.blocks.feed(data[at : at + size])


@behave.then('its events are "{numbers}" and it {ends}')
def events_are(context, numbers, ends):
    found = ['-' if e.id is None else str(e.id) for e in context.events]
    assert found == numbers.split(), found
    assert context.blocks.is_at_event_boundary == (ends == 'ends between')


@behave.given('targets "{names}" that were listed')
def listed(context, names):
    _targets(context, names, 'plain')
    context.reachable_since = NOW - 60


@behave.when('the directory is lost and comes back without "{name}"')
def outage(context, name):
    context.reachable_since = context.now
    left = [
        state.target
        for state in context.targets.by_id.values()
        if state.target.id != name
    ]
    context.targets.replace_all(tuple(left), context.now)


@behave.when('{seconds:f} seconds pass')
def pass_seconds(context, seconds):
    context.now += seconds
    context.targets.remove_missing(context.now, context.reachable_since)


@behave.when('"{name}" is listed again')
def listed_again(context, name):
    context.targets.upsert(_target(name, 'a', 'plain'))


@behave.when('"{name}" is removed while the directory is steady')
def removed(context, name):
    context.targets.remove(name, context.now, context.reachable_since)


@behave.when('"{name}" is listed with another start')
def restarted(context, name):
    context.before = context.targets.by_id[name]
    context.before.record_result(False, context.now)
    fields = {**vars(context.before.target), 'born': 17}
    context.targets.upsert(objects.Target(**fields))


@behave.then('what was known of "{name}" is gone')
def knows_nothing(context, name):
    assert context.before.is_removed
    assert context.targets.by_id[name].update_failure_share(context.now) == 0


@behave.then('"{name}" is {known}')
def is_known(context, name, known):
    assert (name in context.targets.by_id) == (known == 'known')


@behave.when('{count:d} generations are refused at once')
def refused(context, count):
    rng = random.Random(SEED)
    context.returns = [
        retry_after.random_delay(10.0, rng) for _ in range(count)
    ]


@behave.when('{count:d} generations with {left:f} seconds left are refused')
def refused_with(context, count, left):
    rng = random.Random(SEED)
    context.returns = [
        retry_after.random_delay(left, rng) for _ in range(count)
    ]


@behave.then('they come back after {first:f} to {last:f} seconds')
def come_back(context, first, last):
    assert first <= min(context.returns), min(context.returns)
    assert max(context.returns) <= last, max(context.returns)


@behave.then('no tenth of a second gets more than {count:d} of their returns')
def spread_returns(context, count):
    tenths = collections.Counter(int(at * 10) for at in context.returns)
    assert max(tenths.values()) <= count, tenths


@behave.given('a caller that guesses {hint} tokens and allows {most:d}')
def guess(context, hint, most):
    context.guess = (None if hint == 'none' else int(hint)), most


@behave.then(
    'at least {tokens:d} tokens are allowed for by a process that stops'
)
def allowed_for(context, tokens):
    assert engine_load.worst_case_output_tokens(*context.guess) >= tokens
