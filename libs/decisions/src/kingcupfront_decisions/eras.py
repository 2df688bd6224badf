"""The order of views of a directory that may be restored from a copy.

Load pattern: after a restore the directory issues revisions again that it had
issued before, for other contents. Each restore starts an era. Gateways learn
of it at different times, and answers of the former era are still under way.
"""

import enum
import typing

# A larger number is not an era: it could never be exceeded.
MAX_ERA = 10**18


class View(typing.NamedTuple):
    """A state of the directory; views are ordered by era, then by revision.

    :param era: how often the directory was restored.
    :param revision: the revision within the era.
    """

    era: int
    revision: int


class Order(enum.Enum):
    """How the era of a response relates to the known one."""

    OLDER = 'older'
    SAME = 'same'
    NEWER = 'newer'


def compare(known: int, received: int | None) -> Order:
    """Compare the era of a response with the known one.

    :param received: the era of the response; None if it names none, and then
        it is taken as one of the known era.
    """
    if received is None or received == known:
        return Order.SAME
    return Order.NEWER if received > known else Order.OLDER


def may_serve(own: View | None, asked: View, *, reads_eras: bool) -> bool:
    """Return whether a view answers a peer's request for changes.

    A peer that does not read eras takes any answer as one of its own era.

    :param own: the view of this gateway; None if it has none.
    :param asked: the view of the peer; revision 0 if it has none.
    :param reads_eras: whether the peer reads the era of the answer.
    """
    if own is None:
        return False
    if not reads_eras and own.era:
        return False
    return asked.era <= own.era
