"""Tasks that run as long as the process."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

import gevent

LOG = logging.getLogger(__name__)

RESTART_SECONDS = 0.5


@contextlib.contextmanager
def kept(*runs: Callable[[], None]) -> Iterator[None]:
    """Run each function in a task while the block runs.

    A task that fails is started again: without it the process would go on
    and serve nothing, and nobody would replace it.

    :param runs: functions that do not return by themselves.
    """
    tasks: dict[Callable[[], None], gevent.Greenlet] = {}

    def start(run: Callable[[], None]) -> None:
        tasks[run] = gevent.spawn(run)
        tasks[run].link_exception(lambda task: restart(run, task))

    def restart(run: Callable[[], None], task: gevent.Greenlet) -> None:
        LOG.critical(
            'task_failed',
            extra={
                'task': run.__qualname__,
                'cause': type(task.exception).__name__,
                'detail': str(task.exception),
            },
        )
        tasks[run] = gevent.spawn_later(RESTART_SECONDS, start, run)

    for run in runs:
        start(run)
    try:
        yield
    finally:
        gevent.killall(list(tasks.values()), block=False)
