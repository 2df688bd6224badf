"""The entries that were listed recently, with the time they were last seen."""

import logging

import gevent

from kingcupfront_core import address
from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_once import claims
from kingcupfront_peer import errors as peer_errors

LOG = logging.getLogger(__name__)
PROBE_KIND = 'identity'
POLL_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class KnownEntries:
    """Remembers entries as INSTANCE@ADDRESS after they have left the list.

    :param process: the state of the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._last_seen_by_member: dict[str, float] = {}
        self._verified_address: address.Address | None = None
        process.link.handlers.register(PROBE_KIND)(lambda message: b'')

    @property
    def own_address(self) -> address.Address | None:
        """The address at which other entries reach this process.

        The listed address counts once a call to it has been answered by this
        process. Until then the row may belong to an earlier process, or to
        another one that was given the same name.
        """
        return self._verified_address or self._process.link.address

    @property
    def own_id(self) -> str:
        """The id of this entry, INSTANCE@ADDRESS."""
        return f'{self._process.settings.instance}@{self.own_address}'

    def record_seen(self, member: str) -> None:
        """Record that an entry is running now.

        :param member: the entry, as INSTANCE@ADDRESS.
        """
        self._last_seen_by_member[member] = self._process.clock.wall()

    def seen_since(self, not_before: float) -> set[str]:
        """Return the entries that were last seen at or after a time.

        :param not_before: the time, in seconds of the wall clock.
        """
        self._record_listed()
        return {
            member
            for member, seen in self._last_seen_by_member.items()
            if seen >= not_before
        }

    def poll_instance_list(self) -> None:
        """Read the instance list periodically, for ever."""
        while True:
            self._record_listed()
            self._verify_own_address()
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _verify_own_address(self) -> None:
        listed = [
            row.address
            for row in self._process.instances
            if row.id == self._process.settings.instance
        ]
        if not listed or listed[0] == self._verified_address:
            return
        self._verified_address = None
        link = self._process.link
        try:
            answer = link.call(
                listed[0], PROBE_KIND, b'', PROBE_TIMEOUT_SECONDS
            )
        except (peer_errors.PeerError, peer_errors.FrameError) as error:
            LOG.warning('own_address_unproved', extra={'reason': str(error)})
            return
        if answer.incarnation == link.incarnation:
            self._verified_address = listed[0]
        else:
            LOG.warning('own_address_of_another', extra={'peer': listed[0]})

    def _record_listed(self) -> None:
        now = self._process.clock.wall()
        for row in self._process.instances:
            if row.service == targets.ENTRY_SERVICE:
                self.record_seen(f'{row.id}@{row.address}')
        for member, seen in list(self._last_seen_by_member.items()):
            if seen < now - claims.RETENTION_SECONDS:
                del self._last_seen_by_member[member]
