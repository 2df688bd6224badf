"""Steps for structured logging."""

import logging

import behave
import hypothesis
from hypothesis import strategies

from kingcupfront_core import logs


@behave.when(
    'an event is logged in the {name} format with a line break and a secret'
)
def log_event(context, name):
    record = logging.makeLogRecord(
        {
            'msg': 'request ended\nbadly',
            'levelname': 'INFO',
            'team': 'north yard',
            'secret': 'hunter2',
        }
    )
    context.line = logs.formats.get(name)().format(record)


@behave.then('it is one line')
def one_line(context):
    assert '\n' not in context.line, context.line


@behave.then('it shows the field "{field}" and hides the secret')
def fields(context, field):
    assert field in context.line
    assert 'north yard' in context.line
    assert 'hunter2' not in context.line


def _format_event(name, fields, exc_info=None):
    record = logging.makeLogRecord(
        {'msg': 'event', 'levelname': 'INFO', 'name': 'x'} | fields
    )
    record.exc_info = exc_info
    return logs.formats.get(name)().format(record)


@behave.then('{count:d} random events in the {name} format are one line each')
def random_events(context, count, name):
    texts = strategies.text(
        strategies.characters(exclude_categories=())
        | strategies.sampled_from('\n\r\x0b\x0c\x1c\x1d\x1e\x85\u2028\u2029'),
        max_size=20,
    )
    names = texts.map(lambda text: f'f{text}')

    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.dictionaries(names, texts, max_size=3), texts)
    def one_line_each(fields, message):
        line = _format_event(name, fields | {'msg': message, 'args': ()})
        assert len(line.splitlines()) == 1, repr(line)

    one_line_each()


@behave.then('an event in the {name} format hides the secret in {where}')
def hides(context, name, where):
    secret = 'kcf_0123456789abcdefghij'
    fields = {
        'a field named key': {'key': 'hunter2'},
        'a nested field': {'settings': {'secrets': ['hunter2']}},
        'a header in a text': {'reason': "'Authorization: Bearer hunter2'"},
        'a team key in a text': {'reason': f'no team has {secret}'},
        'an exception': {},
    }
    exc_info = None
    if where == 'an exception':
        error = ValueError(f'bad {secret}')
        exc_info = (ValueError, error, None)
    line = _format_event(name, fields[where], exc_info)
    assert 'hunter2' not in line and secret not in line, line
    assert '[redacted]' in line, line
