"""What targets have announced, against older entries of a directory."""

import collections

from kingcupfront_gateway import objects

# Bounds the memory for targets that left.
MAX_REMEMBERED_STARTS = 4096


class Announcements:
    """The entries in which targets have announced that they leave.

    A directory that was restored from a copy may list an older entry of the
    same start, which does not cancel the announcement.
    """

    def __init__(self) -> None:
        self._by_start: collections.OrderedDict[
            tuple[str, int], objects.Target
        ] = collections.OrderedDict()

    def newest(self, target: objects.Target) -> objects.Target:
        """Return the announcement of a target if it is newer than its entry.

        :param target: the target as it is listed now; returned otherwise.
        """
        start = target.id, target.born
        known = self._by_start.get(start)
        if known is not None and target.sequence < known.sequence:
            return known
        if target.is_leaving:
            self._by_start[start] = target
            if len(self._by_start) > MAX_REMEMBERED_STARTS:
                self._by_start.popitem(last=False)
        else:
            self._by_start.pop(start, None)
        return target
