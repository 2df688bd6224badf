"""Steps for tasks that run as long as the process."""

import collections

import behave
import gevent

from kingcupfront_gateway import tasks


@behave.given('a task that fails twice and then goes on, and one that goes on')
def two_tasks(context):
    context.starts = collections.Counter()
    context.ends = []

    def run(name, failures):
        context.starts[name] += 1
        if context.starts[name] <= failures:
            raise ValueError('a fault of the test')
        try:
            gevent.sleep(60)
        finally:
            context.ends.append(name)

    def failing():
        run('failing', 2)

    def sound():
        run('sound', 0)

    context.runs = {'failing': failing, 'sound': sound}


@behave.when('both are kept for {seconds:d} seconds')
def keep(context, seconds):
    with tasks.supervised(**context.runs):
        gevent.sleep(seconds)
        assert not context.ends
    gevent.sleep(0.05)


@behave.then('the first was started {count:d} times and the second once')
def started(context, count):
    assert context.starts == {'failing': count, 'sound': 1}, context.starts


@behave.then('both ran until the end and not longer')
def ended(context):
    assert sorted(context.ends) == ['failing', 'sound'], context.ends
