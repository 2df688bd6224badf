"""Steps for the supervision of tasks that run as long as the process."""

import collections

import behave
import gevent

from kingcupfront_gateway import tasks


@behave.given(
    'a task that fails twice before it runs on, and a task that never fails'
)
def two_tasks(context):
    context.starts = collections.Counter()
    context.ends = []

    def run(name, failures):
        context.starts[name] += 1
        if context.starts[name] <= failures:
            raise ValueError('planned failure of the test')
        try:
            gevent.sleep(60)
        finally:
            context.ends.append(name)

    def failing_task():
        run('failing', 2)

    def sound_task():
        run('sound', 0)

    context.functions_by_name = {'failing': failing_task, 'sound': sound_task}


@behave.when('both tasks are supervised for {seconds:d} seconds')
def supervise(context, seconds):
    with tasks.supervised(**context.functions_by_name):
        gevent.sleep(seconds)
        assert not context.ends
    gevent.sleep(0.05)


@behave.then('the first task was started {count:d} times and the second once')
def started(context, count):
    assert context.starts == {'failing': count, 'sound': 1}, context.starts


@behave.then('both tasks ran until the supervision ended and no longer')
def ended(context):
    assert sorted(context.ends) == ['failing', 'sound'], context.ends
