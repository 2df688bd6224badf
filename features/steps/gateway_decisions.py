"""Steps for the gateway's decision logic, with a manual clock."""

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
    'revoked keys must stop working within {seconds:f} seconds, at a manual '
    'clock'
)
@behave.given(
    'revoked keys must stop working within {seconds:d} seconds, at a manual '
    'clock'
)
def revocation(context, seconds):
    context.freshness = freshness.Freshness(float(seconds))


@behave.when('a view that was requested {age:f} seconds ago is confirmed')
def confirm(context, age):
    context.freshness.confirm(NOW - age)


@behave.then(
    'keys {keys} trusted and an unknown key or route {unknown} denied'
)
def trusted(context, keys, unknown):
    assert context.freshness.can_trust_keys(NOW) == (keys == 'are')
    assert context.freshness.can_trust_absence(NOW) == (unknown == 'is')


@behave.when(
    '{instances:d} instances retry whenever they may, at {rate:f} requests '
    'per second each, for {seconds:d} seconds'
)
def retry_always(context, instances, rate, seconds):
    rng = random.Random(SEED)
    context.requests, context.retries = [], []
    for _ in range(instances):
        budget = retry_budget.RetryBudget(RATIO, WINDOW_SECONDS)
        now = NOW + rng.random()
        while now < NOW + seconds:
            if rng.random() < rate * 0.05:
                budget.record_request(now)
                context.requests.append(now)
            while budget.try_acquire(now):
                context.retries.append(now)
            now += 0.05


@behave.then(
    'no {window:d} seconds have more retries than {ratio:f} of the requests '
    'plus {slack:d}'
)
def within_budget(context, window, ratio, slack):
    for start in range(0, 52):
        first, last = NOW + start, NOW + start + window
        retries = sum(first <= at < last for at in context.retries)
        requests = sum(first <= at < last for at in context.requests)
        assert retries <= ratio * requests + slack, (start, retries, requests)


@behave.given(
    'a process that was told to stop and is killed after {grace:d} seconds'
)
def stopping_process(context, grace):
    context.shutdown = stopping.Shutdown(NOW, float(grace))


@behave.given('whose event loop is late by {delay:g} seconds at most')
def late_loop(context, delay):
    for seconds in (delay, 0.0):
        context.shutdown.record_delay(seconds)


@behave.then(
    '{seconds:f} seconds later a {kind} generation of {tokens:d} tokens and '
    '{deadline:f} seconds is {outcome}'
)
def stop_outcome(context, seconds, kind, tokens, deadline, outcome):
    taken = context.shutdown.accepts(
        NOW + seconds,
        expected_seconds=stopping.generation_seconds(tokens),
        seconds_to_deadline=deadline,
        may_repeat=kind == 'repeatable',
    )
    assert taken == (outcome == 'taken')


@behave.then(
    'it gives final responses after {responses:g} seconds and exits after '
    '{exit_after:g}'
)
def last_steps(context, responses, exit_after):
    shutdown = context.shutdown
    assert abs(shutdown.final_response_at - NOW - responses) < 1e-6
    assert abs(shutdown.exit_at - NOW - exit_after) < 1e-6


@behave.then(
    'its ends come after the deadline of what it accepts, however late its '
    'event loop gets'
)
def ends_after_deadlines(context):
    shutdown = context.shutdown
    tenths = range(1, round(shutdown.grace * 10))
    accepted = [
        tenth / 10
        for tenth in tenths
        if shutdown.accepts(
            NOW,
            expected_seconds=0.1,
            seconds_to_deadline=tenth / 10,
            may_repeat=False,
        )
    ]
    for delay in (0.1, 0.5, 5.0):
        shutdown.record_delay(delay)
        for end in (shutdown.final_response_at, shutdown.exit_at):
            assert end >= NOW + max(accepted, default=0) - 1e-6, delay


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


@behave.given('engine "{name}" reports that it is full')
def report_full(context, name):
    load = context.targets.by_id[name].load
    load.record_report(objects.LoadReport(8, 0, 0, 29000, 0, False), NOW)


@behave.given('engine "{name}" reports {tokens:d} tokens')
def report_tokens(context, name, tokens):
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


@behave.then('the destinations of a migration are ranked "{names}"')
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


@behave.given('"{name}" has {times:d} requests in flight')
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
    'an engine of {memory:d} tokens that reports {used:d} tokens and '
    '{request_count:d} requests'
)
def reported_engine(context, memory, used, request_count):
    assert ENGINE.memory_tokens == memory
    context.load = engine_load.EngineLoad(ENGINE)
    context.load.record_report(
        objects.LoadReport(request_count, 0, 0, used, 0, False), NOW
    )


@behave.when(
    'a request with {prompt:d} prompt and {output:d} output tokens is sent '
    'to the engine'
)
def send_request(context, prompt, output):
    context.request = engine_load.TrackedGeneration(prompt, output, NOW + 0.1)
    context.load.generations_by_id['r'] = context.request


@behave.when(
    'the engine reports {used:d} tokens and {request_count:d} requests a '
    'second later'
)
def report_later(context, used, request_count):
    report = objects.LoadReport(request_count, 0, 0, used, 0, False)
    context.load.record_report(report, NOW + 1.1)


@behave.then(
    'the engine is estimated to need {tokens:d} tokens and {slots:d} slots'
)
def estimated_need(context, tokens, slots):
    assert context.load.memory_needed() == tokens, context.load.summary(NOW)
    assert context.load.slots_in_use() == slots, context.load.summary(NOW)


@behave.when('the stream "{text}" arrives in pieces of {size:d} bytes')
def receive_in_pieces(context, text, size):
    lines = text.replace('::', '\n\n').replace('1:d', '1\nd')
    data = lines.replace('2:d', '2\nd').encode()
    context.splitter = server_sent_events.Splitter()
    context.events = []
    for at in range(0, len(data), size):
        context.events += context.splitter.feed(data[at : at + size])


@behave.then('its events are "{numbers}" and it {ends}')
def events_are(context, numbers, ends):
    found = ['-' if e.id is None else str(e.id) for e in context.events]
    assert found == numbers.split(), found
    assert context.splitter.is_at_event_boundary == (ends == 'ends between')


@behave.given('listed targets "{names}"')
def listed(context, names):
    _targets(context, names, 'plain')
    context.reachable_since = NOW - 60


@behave.when('the directory returns from an outage without "{name}"')
def return_without(context, name):
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


@behave.when('"{name}" is removed while the directory is reachable')
def removed(context, name):
    context.targets.remove(name, context.now, context.reachable_since)


@behave.when('"{name}" is listed with another start time')
def restarted(context, name):
    context.before = context.targets.by_id[name]
    context.before.record_result(False, context.now)
    fields = {**vars(context.before.target), 'born': 17}
    context.targets.upsert(objects.Target(**fields))


@behave.then('the recorded state of "{name}" is discarded')
def state_discarded(context, name):
    assert context.before.is_removed
    assert context.targets.by_id[name].update_failure_share(context.now) == 0


@behave.then('"{name}" is {known}')
def is_known(context, name, known):
    assert (name in context.targets.by_id) == (known == 'known')


@behave.when('{count:d} generations are refused at once')
def refused(context, count):
    rng = random.Random(SEED)
    context.retry_delays = [
        retry_after.random_delay(10.0, rng) for _ in range(count)
    ]


@behave.when('{count:d} generations with {left:f} seconds left are refused')
def refused_with(context, count, left):
    rng = random.Random(SEED)
    context.retry_delays = [
        retry_after.random_delay(left, rng) for _ in range(count)
    ]


@behave.then('they retry after {first:f} to {last:f} seconds')
def retry_between(context, first, last):
    assert first <= min(context.retry_delays), min(context.retry_delays)
    assert max(context.retry_delays) <= last, max(context.retry_delays)


@behave.then('no tenth of a second has more than {count:d} of their retries')
def retries_are_spread(context, count):
    tenths = collections.Counter(int(at * 10) for at in context.retry_delays)
    assert max(tenths.values()) <= count, tenths


@behave.given('a caller that estimates {hint} tokens and allows {most:d}')
def estimate(context, hint, most):
    context.estimate = (None if hint == 'none' else int(hint)), most


@behave.then('a stopping process allows for at least {tokens:d} tokens')
def allowed_for(context, tokens):
    assert engine_load.worst_case_output_tokens(*context.estimate) >= tokens
