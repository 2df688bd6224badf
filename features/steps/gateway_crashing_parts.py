"""Steps for prompts that crash engines."""

import hashlib

import behave
import gevent

from features.support import log_capture
from features.support import platform_site

GAP_SECONDS = 0.3


def prompt(parts, attempt):
    """Return the headers of a prompt whose last part is its own."""
    entries = [*parts.split(','), f'own-{attempt}']
    return {'Kingcupfront-Prefix-Hash': ','.join(f'{e}:250' for e in entries)}


@behave.given(
    'engines that crash on the part "{part}" and are back after {seconds:d} '
    'second'
)
def crashing_engines(context, part, seconds):
    context.crashes = []

    def on_crash(engine):
        context.crashes.append(engine.id)
        context.site.restart(engine, seconds)

    for engine in context.site.targets.values():
        engine.crashing_part = part
        engine.on_crash = on_crash


@behave.given('the log of the gateway is kept')
def keep_log(context):
    context.records = context.stack.enter_context(log_capture.capturing())


@behave.given('{count:d} gateways run that know each other')
def gateways_run(context, count):
    started = context.site.start_several(count)
    context.gateways = [gateway for gateway, *_ in started]
    context.ends = [end for *_, end in started]


@behave.when(
    'a caller sends a prompt of the parts "{parts}" on route "{route}"'
)
def send_prompt(context, parts, route):
    attempt = context.site.new_id()
    context.answer = context.site.ask(
        route, attempt=attempt, headers=prompt(parts, attempt)
    )


@behave.when(
    '{count:d} callers send prompts of the parts "{parts}" on route '
    '"{route}" to the gateways in turn'
)
def send_prompts(context, count, parts, route):
    context.answers = []
    for number in range(count):
        gateway = context.gateways[number % len(context.gateways)]
        attempt = context.site.new_id()
        with context.site.connection(gateway.settings.callers) as line:
            context.answers.append(
                context.site.ask(
                    route,
                    line,
                    attempt=attempt,
                    headers=prompt(parts, attempt),
                )
            )
        gevent.sleep(GAP_SECONDS)


def _give_long_id(context, digits):
    context.long_id = 'f' * digits
    for engine in context.site.targets.values():
        engine.crashing_part = context.long_id


@behave.when(
    '{count:d} callers send prompts with a part that crashes engines, its id '
    'of {digits:d} digits, to the gateways in turn'
)
def send_long_ids(context, count, digits):
    _give_long_id(context, digits)
    send_prompts(context, count, f'team,{context.long_id}', 'stream')


@behave.when(
    '{count:d} callers send prompts with a part whose id differs in its last '
    'digit to the gateways in turn'
)
def send_similar_ids(context, count):
    similar = context.long_id[:-1] + 'e'
    send_prompts(context, count, f'team,{similar}', 'stream')


@behave.when(
    'a caller sends a prompt with a part that crashes engines, its id of '
    '{digits:d} digits'
)
def send_long_id(context, digits):
    _give_long_id(context, digits)
    send_prompt(context, f'team,{context.long_id}', 'stream')


@behave.then('the log line "{name}" has the digest of that part')
def log_has_digest(context, name):
    found = hashlib.blake2b(context.long_id.encode(), digest_size=16)
    log_has_parts(context, name, f'team,blake2b-128:{found.hexdigest()}')


@behave.then('no more than {count:d} engines have crashed')
def crash_count(context, count):
    assert len(context.crashes) <= count, context.crashes


@behave.then(
    'the last {count:d} of these callers are told that the request has not run'
)
def told_not_run(context, count):
    found = [answer.status for answer in context.answers]
    assert found[-count:] == [503] * count, found


@behave.then('each of these callers received a whole stream')
def all_whole(context):
    for answer in context.answers:
        is_ok = answer.status == 200 and answer.is_whole
        assert is_ok and platform_site.numbers(answer.body), answer


@behave.then('the log line "{name}" has prompt_parts "{parts}"')
def log_has_parts(context, name, parts):
    lines = log_capture.events(context.records, name)
    assert {line.prompt_parts for line in lines} == {parts}, lines


@behave.when('gateway {number:d} {misses}')
def gateway_misses(context, number, misses):
    gateway = context.gateways[number - 1]
    if misses == 'is started again':
        context.ends[number - 1]()
        gateway = context.site.start_again(gateway.settings)
        context.gateways[number - 1] = gateway
    else:
        evidence = gateway.crash_evidence
        evidence.__init__(gateway.settings.instance, 0.0)
    assert not gateway.crash_evidence.blocked_groups


@behave.then(
    'gateway {number:d} blocks the part "{part}" within {seconds:d} seconds'
)
def gateway_blocks(context, number, part, seconds):
    evidence = context.gateways[number - 1].crash_evidence
    with gevent.Timeout(seconds):
        while not evidence.blocked_group(['team', part], _now(context)):
            gevent.sleep(0.05)


@behave.when(
    'an engine answers a prompt of the parts "{parts}" with its own failure'
)
def own_failure(context, parts):
    gateway = context.gateways[0]
    evidence = gateway.crash_evidence
    blocked, evidence.blocked_groups = evidence.blocked_groups, frozenset()
    found, evidence._found_at_by_group = evidence._found_at_by_group, {}
    for engine in context.site.targets.values():
        engine.faults = ['failure']
    attempt = context.site.new_id()
    with context.site.connection(gateway.settings.callers) as line:
        answer = context.site.ask(
            'stream', line, attempt=attempt, headers=prompt(parts, attempt)
        )
    assert answer.status == 500, answer
    evidence.blocked_groups, evidence._found_at_by_group = blocked, found
    # The next change decides anew what is blocked.
    evidence.record_crash(
        'other/1', ['x'], sent_at=0.0, now=evidence.changed_at
    )


@behave.then('each gateway blocks the part "{part}"')
def each_blocks(context, part):
    for number in range(len(context.gateways)):
        gateway_blocks(context, number + 1, part, 2)


@behave.given('engines that need {seconds:f} seconds for a prefill')
def slow_prefill(context, seconds):
    for engine in context.site.targets.values():
        engine.prefill = seconds


@behave.when('a caller sends a prompt of the parts "{parts}" to a gateway')
def send_to_gateway(context, parts):
    attempt = context.attempt = context.site.new_id()
    address = context.gateways[0].settings.callers
    context.line = context.stack.enter_context(
        context.site.connection(address)
    )
    context.site.send(
        context.line, 'stream', attempt=attempt, headers=prompt(parts, attempt)
    )
    engines = context.site.targets.values()
    context.site.wait_until(lambda: any(attempt in e.runs for e in engines))


@behave.when('all gateways learn that the part "{part}" crashes engines')
def all_learn(context, part):
    now = context.gateways[0].clock.monotonic()
    for number in range(3):
        context.gateways[1].crash_evidence.record_crash(
            f'x{number}/1', ['team', part], sent_at=now - 5, now=now - number
        )
    # Where the part is not the only one.
    context.gateways[1].crash_evidence.record_written(['team'], now, now)


@behave.given('the gateway blocks the part "{part}", and a trial is due')
def trial_due(context, part):
    evidence = context.site.gateway.crash_evidence
    now = context.site.gateway.clock.monotonic()
    for number in range(3):
        at = now - 300 + number
        evidence.record_crash(f'x{number}/1', [part], sent_at=at - 0.3, now=at)
    group = evidence.blocked_group([part], now + 1)
    assert group == {part}, group


@behave.when(
    '{engines} and a caller sends a prompt of the parts "{parts}" on route '
    '"{route}"'
)
def send_with_room(context, engines, parts, route):
    for engine in context.site.targets.values():
        engine.is_full = engines == 'all engines are full'
    send_prompt(context, parts, route)


@behave.then('the caller gets status 200 and "no answer of a plain target"')
def whole_prompt(context):
    assert context.answer.status == 200 and context.answer.is_whole


@behave.then('the gateway blocks nothing')
def blocks_nothing(context):
    evidence = context.site.gateway.crash_evidence
    context.site.wait_until(lambda: not evidence.blocked_groups)


def _now(context):
    return context.gateways[0].clock.monotonic()
