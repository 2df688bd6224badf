"""Supervision of the tasks that run as long as the process."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

import gevent

LOG = logging.getLogger(__name__)

RESTART_DELAY_SECONDS = 0.5


@contextlib.contextmanager
def supervised(**functions_by_name: Callable[[], None]) -> Iterator[None]:
    """Run each function in its own task while the block runs.

    A task that fails is restarted: without it the process would keep running
    but serve nothing, and nothing would replace it.

    :param functions_by_name: functions that do not return by themselves.
    """
    tasks_by_name: dict[str, gevent.Greenlet] = {}

    def start(name: str) -> None:
        task = tasks_by_name[name] = gevent.spawn(functions_by_name[name])
        task.link_exception(lambda failed: restart(name, failed))

    def restart(name: str, task: gevent.Greenlet) -> None:
        LOG.critical(
            'task_failed',
            extra={
                'task': name,
                'cause': type(task.exception).__name__,
                'detail': str(task.exception),
            },
        )
        tasks_by_name[name] = gevent.spawn_later(
            RESTART_DELAY_SECONDS, start, name
        )

    for name in functions_by_name:
        start(name)
    try:
        yield
    finally:
        gevent.killall(list(tasks_by_name.values()), block=False)


def interrupt_if(
    task: gevent.Greenlet, condition: Callable[[], bool], error: Exception
) -> None:
    """Raise an error in a task, soon, if a condition holds then.

    Other tasks may run between this call and the moment at which the error
    is raised, and the task itself may.

    :param condition: checked right before the error is raised.
    """

    def interrupt() -> None:
        if not task.dead and condition():
            task.throw(error)

    gevent.get_hub().loop.run_callback(interrupt)
