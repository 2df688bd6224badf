"""Steps for requests that get a second target beside a slow one."""

import behave
import gevent

from features.support import log_capture


@behave.when('targets will "{first}", "{second}" and then "{rest}"')
def target_faults(context, first, second, rest):
    names = [first, second, *[rest] * 50]
    shared = ['' if name == 'answer' else name for name in names]
    for target in context.site.targets.values():
        target.faults = shared


@behave.when('a caller waits for a request on "{route}"')
def wait_for_request(context, route):
    context.answer = context.site.ask(route)
    gevent.sleep(0.2)


@behave.then('its status is {status:d} after at most {count:d} runs')
def answered(context, status, count):
    runs = [(t.id, len(t.runs)) for t in context.site.targets.values()]
    found = context.answer.status, context.answer.body[:60]
    assert found[0] == status, (found, runs)
    assert sum(n for _, n in runs) <= count, (found, runs)


@behave.when(
    'a caller leaves a request on "{route}" after {seconds:f} seconds'
)
def leave_request(context, route, seconds):
    site = context.site
    line = context.stack.enter_context(site.connection())
    site.send(line, route, attempt=site.new_id())
    gevent.sleep(seconds)
    assert sum(len(t.runs) for t in site.targets.values()) == 2
    line.close()
    gevent.sleep(0.4)


@behave.then('no target works on it and none counts as loaded')
def both_ended(context):
    site = context.site
    closed = [len(t.closed_early) for t in site.targets.values()]
    loads = [s.in_flight for s in site.gateway.targets.by_id.values()]
    assert sum(closed) == 2 and not any(loads), (closed, loads)


@behave.when('a caller waits for a prompt of the parts "{parts}" on "{route}"')
def wait_for_prompt(context, parts, route):
    entries = ','.join(f'{part}:250' for part in [*parts.split(','), 'own'])
    context.answer = context.site.ask(
        route, headers={'Kingcupfront-Prefix-Hash': entries}
    )


@behave.then('{count:d} crashes of targets were logged')
def crashes_logged(context, count):
    found = log_capture.events(context.records, 'engine_crashed')
    assert len(found) == count, found
