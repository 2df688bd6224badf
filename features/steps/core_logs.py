"""Steps for the logs."""

import logging

import behave

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
