"""Protection against frames that arrive a second time."""

import collections

from kingcupfront_peer import errors

WINDOW_NUMBERS = 1024
MAX_SENDERS = 8192


class ReplayWindow:
    """Remembers which numbers each sender has used.

    A number is taken once; numbers below the window are refused. This is
    the sliding window of IPsec (RFC 4303, section 3.4.3).

    >>> replay = Replay()
    >>> replay.take('entry-1', 7, 1)

    :param window: how many numbers back may still arrive.
    """

    def __init__(self, window: int = WINDOW_NUMBERS) -> None:
        self._window = window
        self._highest_by_sender: collections.OrderedDict[
            tuple[str, int], tuple[int, int]
        ] = collections.OrderedDict()

    def record(self, sender: str, incarnation: int, number: int) -> None:
        """Use up a number of a sender.

        :param sender: the sender's instance name.
        :param incarnation: the sender's process number.
        :param number: the number of the frame, from 1.
        :raises ReplayError: if it was used or is too old to tell.
        """
        key = (sender, incarnation)
        highest, seen = self._highest_by_sender.get(key, (0, 0))
        if number <= highest - self._window or number < 1:
            raise errors.ReplayError(f'number {number} of {sender} is old')
        if number > highest:
            shift = min(number - highest, self._window)
            seen = (seen << shift) & ((1 << self._window) - 1)
            highest = number
        bit = 1 << (highest - number)
        if seen & bit:
            raise errors.ReplayError(f'number {number} of {sender} again')
        self._highest_by_sender[key] = (highest, seen | bit)
        self._highest_by_sender.move_to_end(key)
        if len(self._highest_by_sender) > MAX_SENDERS:
            self._highest_by_sender.popitem(last=False)
