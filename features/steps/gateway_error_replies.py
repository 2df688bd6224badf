"""Steps for error replies that callers may take for refusals."""

import behave

from features.support import log_capture


@behave.when('its targets will answer with "{first}" and then "{second}"')
def next_target_faults(context, first, second):
    faults = [first, second]
    for target in context.site.targets.values():
        target.faults = faults


@behave.given('each engine has a copy of the next request')
def copies(context):
    context.attempt = context.site.new_id()
    for engine in context.site.targets.values():
        engine.copies[f'{engine.address}/{context.attempt}'] = 0


@behave.when('a caller sends the next request to route "{route}"')
def ask_next(context, route):
    context.answer = context.site.ask(route, attempt=context.attempt)


@behave.then('the caller gets a whole answer with status {status:d}')
def whole_answer(context, status):
    assert context.answer.status == status, context.answer
    assert context.answer.is_whole, context.answer


@behave.then('the response has no Retry-After header and no word of a refusal')
def promises_nothing(context):
    answer = context.answer
    assert 'retry-after' not in answer.headers, answer
    assert answer.body == b'target_failed\n', answer


@behave.then('the log names status {status:d} and the target that gave it')
def log_names(context, status):
    ended = log_capture.events(context.records, 'request_ended')[-1]
    last_id = ended.targets.split(',')[-1]
    text = f'status {status} of {last_id} '
    assert ended.detail.startswith(text), ended.detail


@behave.then(
    'the caller gets one of the statuses "{statuses}" and no signature'
)
def one_of_statuses(context, statuses):
    answer = context.answer
    assert str(answer.status) in statuses.split(', '), answer
    assert 'kingcupfront-server-signature' not in answer.headers, answer


@behave.then('the log line "{line}" names the target that gave it')
def line_names_target(context, line):
    lines = log_capture.events(context.records, line)
    ran = [
        target.id
        for target in context.site.targets.values()
        if context.attempt in target.runs
    ]
    assert [record.target for record in lines] == ran, (lines, ran)
