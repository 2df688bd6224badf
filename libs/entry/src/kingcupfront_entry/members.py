"""The entries that any list has named, and until when it did."""

import gevent

from kingcupfront_core import address
from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_once import claims

POLL_SECONDS = 0.2


class Members:
    """Remembers entries as INSTANCE@ADDRESS after they left the list.

    :param process: the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._last_seen_by_member: dict[str, float] = {}

    @property
    def own_address(self) -> address.Address | None:
        """Where other entries reach the own one, as the list has it."""
        for row in self._process.instances:
            if row.id == self._process.settings.instance:
                return row.address
        return self._process.link.address

    @property
    def own(self) -> str:
        """The own entry."""
        return f'{self._process.settings.instance}@{self.own_address}'

    def see(self, member: str) -> None:
        """Note that an entry is at work now."""
        self._last_seen_by_member[member] = self._process.clock.wall()

    def since(self, not_before: float) -> set[str]:
        """Return the entries that were seen at or after a wall second."""
        self._read_list()
        return {
            member
            for member, seen in self._last_seen_by_member.items()
            if seen >= not_before
        }

    def follow(self) -> None:
        """Read the list as often as it may change, for ever."""
        while True:
            self._read_list()
            gevent.sleep(POLL_SECONDS)

    def _read_list(self) -> None:
        now = self._process.clock.wall()
        for row in self._process.instances:
            if row.service == targets.ENTRY_SERVICE:
                self.see(f'{row.id}@{row.address}')
        for member, seen in list(self._last_seen_by_member.items()):
            if seen < now - claims.KEEP_SECONDS:
                del self._last_seen_by_member[member]
