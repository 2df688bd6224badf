"""Steps for the rate-limited, non-blocking log output."""

import contextlib
import logging
import os

import behave
from gevent import monkey

from kingcupfront_core import clock
from kingcupfront_core import log_output


def _open_output(context):
    reading, writing = os.pipe()
    context.time = clock.ManualClock()
    context.output = log_output.RateLimitedHandler(writing, context.time)
    context.output.setFormatter(logging.Formatter('%(message)s'))
    context.reading, context.writing = reading, writing


@behave.given('a rate-limited log output to a pipe')
def to_pipe(context):
    _open_output(context)


@behave.given('a rate-limited log output to a pipe that is never read')
def to_full_pipe(context):
    _open_output(context)


def _log(context, text, level=logging.INFO):
    record = logging.LogRecord('x', level, '', 0, text, None, None)
    context.output.emit(record)


@behave.when('{count:d} lines are logged at once')
def log_lines(context, count):
    for number in range(count):
        _log(context, f'line {number}')


@behave.when('one more line is logged 1 second later')
def log_later(context):
    context.time.advance(1)
    _log(context, 'later')


@behave.when('a warning is logged')
def log_warning(context):
    _log(context, 'careful', logging.WARNING)


@behave.when('{count:d} lines are logged 1 second apart')
def log_slowly(context, count):
    for number in range(count):
        context.time.advance(1)
        _log(context, f'line {number} ' + 'x' * 100)


@behave.when('a line of {size:d} bytes is logged')
def log_long(context, size):
    _log(context, 'x' * size)


@behave.when('the reader of the log closes the pipe')
def reader_goes(context):
    # gevent's os.close takes effect only at the next iteration of its loop.
    monkey.get_original('os', 'close')(context.reading)
    context.reading = None


def _read_lines(context):
    data = b''
    if context.reading is not None:
        os.set_blocking(context.reading, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                data += os.read(context.reading, 65536)
    return data.splitlines(keepends=True)


@behave.then('{written:d} lines were written and {dropped:d} dropped')
def line_counts(context, written, dropped):
    context.lines = _read_lines(context)
    assert len(context.lines) == written, len(context.lines)
    assert context.output.dropped == dropped, context.output.dropped


@behave.then('the last log line reports {count:d} dropped lines before it')
def reports_drops(context, count):
    assert context.lines[-1].endswith(f'dropped_before={count}\n'.encode())


@behave.then('the last log line is the warning')
def is_warning(context):
    assert _read_lines(context)[-1].startswith(b'careful')


@behave.then('the last log line has {size:d} bytes')
def has_size(context, size):
    line = _read_lines(context)[-1]
    assert len(line) == size, len(line)


@behave.then('more than 15000 lines were dropped')
def most_lines_dropped(context):
    assert context.output.dropped > 15000, context.output.dropped
