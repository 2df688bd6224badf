"""Protection against replayed frames."""

import collections

from kingcupfront_peer import errors

WINDOW_NUMBERS = 1024
MAX_SENDERS = 8192


class ReplayWindow:
    """The sliding window of message numbers that each sender has used.

    A number is accepted once, and a number below the window is refused. This
    is the anti-replay window of IPsec (RFC 4303, section 3.4.3).

    >>> window = ReplayWindow()
    >>> window.record('entry-1', 7, 1)

    :param window: the size of the window: how far a number may lie behind the
        highest one received.
    """

    def __init__(self, window: int = WINDOW_NUMBERS) -> None:
        self._window = window
        self._windows_by_sender: collections.OrderedDict[
            tuple[str, int], tuple[int, int]
        ] = collections.OrderedDict()

    def record(self, sender: str, incarnation: int, number: int) -> None:
        """Record that a sender has used a message number.

        :param sender: the sender's instance name.
        :param incarnation: the incarnation of the sender's process.
        :param number: the message number; the first one is 1.
        :raises ReplayError: if it was used before or lies below the window.
        """
        key = (sender, incarnation)
        highest, seen = self._windows_by_sender.get(key, (0, 0))
        if number <= highest - self._window or number < 1:
            raise errors.ReplayError(
                f'message number {number} of {sender} is below the window; '
                f'the highest received is {highest}'
            )
        if number > highest:
            shift = min(number - highest, self._window)
            seen = (seen << shift) & ((1 << self._window) - 1)
            highest = number
        bit = 1 << (highest - number)
        if seen & bit:
            raise errors.ReplayError(
                f'message number {number} of {sender} was received before'
            )
        self._windows_by_sender[key] = (highest, seen | bit)
        self._windows_by_sender.move_to_end(key)
        if len(self._windows_by_sender) > MAX_SENDERS:
            self._windows_by_sender.popitem(last=False)
