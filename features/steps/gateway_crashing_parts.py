"""Steps for prompts that crash engines."""

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
    context.gateways = [
        gateway for gateway, *_ in context.site.start_several(count)
    ]


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
