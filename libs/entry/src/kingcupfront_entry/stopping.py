"""The end of requests that are in progress when a shutdown has to end."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from kingcupfront_core import errors
from kingcupfront_core import outcomes


class StoppedError(errors.KingcupfrontError):
    """The process ends before a request has ended.

    It is raised in the task that serves the request, wherever it waits.

    :param may_have_run: whether a target may have run the request.
    """

    def __init__(self, *, may_have_run: bool = False) -> None:
        super().__init__('this entry stops before the request has ended')
        self.code = 'no_answer' if may_have_run else 'draining'
        self.outcome = (
            outcomes.Outcome.UNKNOWN
            if may_have_run
            else outcomes.Outcome.NOT_RUN
        )


@contextlib.contextmanager
def telling_whether_run(may_have_run: Callable[[], bool]) -> Iterator[None]:
    """Let a :class:`StoppedError` of the block say what may have run.

    :param may_have_run: returns whether a target may have run the request.
    """
    try:
        yield
    except StoppedError as error:
        raise StoppedError(may_have_run=may_have_run()) from error
