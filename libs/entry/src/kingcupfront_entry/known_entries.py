"""The entries that any list has named, and until when it did."""

import logging

import gevent

from kingcupfront_core import address
from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_once import claims
from kingcupfront_peer import errors as peer_errors

LOG = logging.getLogger(__name__)
KIND = 'identity'
POLL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class KnownEntries:
    """Remembers entries as INSTANCE@ADDRESS after they left the list.

    :param process: the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._last_seen_by_member: dict[str, float] = {}
        self._proved_address: address.Address | None = None
        process.link.handlers.register(KIND)(lambda message: b'')

    @property
    def own_address(self) -> address.Address | None:
        """Where other entries reach the own process.

        The address that the list gives, once it has proved to lead here:
        a row may still be of an earlier process, or of another one that
        was given the same name.
        """
        return self._proved_address or self._process.link.address

    @property
    def own_id(self) -> str:
        """The own entry."""
        return f'{self._process.settings.instance}@{self.own_address}'

    def record_seen(self, member: str) -> None:
        """Note that an entry is at work now."""
        self._last_seen_by_member[member] = self._process.clock.wall()

    def seen_since(self, not_before: float) -> set[str]:
        """Return the entries that were seen at or after a wall second."""
        self._read_list()
        return {
            member
            for member, seen in self._last_seen_by_member.items()
            if seen >= not_before
        }

    def poll_instance_list(self) -> None:
        """Read the list as often as it may change, for ever."""
        while True:
            self._read_list()
            self._prove_address()
            gevent.sleep(POLL_SECONDS)

    def _prove_address(self) -> None:
        listed = [
            row.address
            for row in self._process.instances
            if row.id == self._process.settings.instance
        ]
        if not listed or listed[0] == self._proved_address:
            return
        self._proved_address = None
        link = self._process.link
        try:
            answer = link.call(listed[0], KIND, b'', PROBE_TIMEOUT_SECONDS)
        except (peer_errors.PeerError, peer_errors.FrameError) as error:
            LOG.warning('own_address_unproved', extra={'reason': str(error)})
            return
        if answer.incarnation == link.incarnation:
            self._proved_address = listed[0]
        else:
            LOG.warning('own_address_of_another', extra={'peer': listed[0]})

    def _read_list(self) -> None:
        now = self._process.clock.wall()
        for row in self._process.instances:
            if row.service == targets.ENTRY_SERVICE:
                self.record_seen(f'{row.id}@{row.address}')
        for member, seen in list(self._last_seen_by_member.items()):
            if seen < now - claims.KEEP_SECONDS:
                del self._last_seen_by_member[member]
