"""Keeps the instance list in sync on all entries.

Watchers read the list from the platform and the other entries pull it from
peers, so the number of calls to the platform does not grow with the fleet.
"""

import dataclasses
import logging
import typing
import zlib

import gevent
from gevent import event
import pydantic

from kingcupfront_config import errors as config_errors
from kingcupfront_config import instance_list
from kingcupfront_config import source
from kingcupfront_core import clock
from kingcupfront_core import errors as core_errors
from kingcupfront_peer import codec
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import heartbeats
from kingcupfront_peer import link as links
from kingcupfront_peer import member as members

LOG = logging.getLogger(__name__)
ENTRY_SERVICE = 'kingcupfront'
PULL_TIMEOUT_SECONDS = 5.0
PULL_INTERVAL_SECONDS = 0.2
STALE_AFTER_SECONDS = 60.0
MAX_LIST_BYTES = 8_000_000

_ROWS_ADAPTER = pydantic.TypeAdapter(tuple[instance_list.Instance, ...])


class InstanceListSync:
    """Holds the newest list read from the platform or from a peer.

    :param link: the link to other entries.
    :param heartbeat_protocol: the heartbeats that announce the list's index,
        and the membership, whose seeds are the listed entries.
    :param time: the clock.
    """

    def __init__(
        self,
        link: links.Link,
        heartbeat_protocol: heartbeats.HeartbeatProtocol,
        time: clock.Clock,
    ) -> None:
        self.index = 0
        self.instances: tuple[instance_list.Instance, ...] = ()
        self.listeners: list[typing.Callable[[], None]] = []
        self._link = link
        self._heartbeat_protocol = heartbeat_protocol
        self._clock = time
        self._confirmed_at = time.monotonic()
        self._newer_peer: members.Member | None = None
        self._newer_list_seen = event.Event()
        link.handlers.register('list')(self._on_request)
        heartbeat_protocol.observers.append(self._on_heartbeat)

    @property
    def is_stale(self) -> bool:
        """Whether the list has not been confirmed for a long time.

        A read from the platform, a pull or a heartbeat with the same index
        confirms it.
        """
        age = self._clock.monotonic() - self._confirmed_at
        return age > STALE_AFTER_SECONDS

    def replace(self, new_list: source.Listing) -> None:
        """Replace the list by one read from the platform or a peer.

        :param new_list: the list that was read.
        """
        self._confirmed_at = self._clock.monotonic()
        rows_changed = new_list.instances != self.instances
        index_changed = new_list.index != self.index
        self.index, self.instances = new_list.index, new_list.instances
        if not rows_changed:
            return
        self._update_seeds()
        for listener in self.listeners:
            listener()
        if index_changed:
            self._heartbeat_protocol.announce()

    def follow_peers(self) -> None:
        """Pull newer lists from peers, for ever."""
        while True:
            self._newer_list_seen.wait()
            self._newer_list_seen.clear()
            peer, self._newer_peer = self._newer_peer, None
            if peer is not None:
                self._pull(peer)
            gevent.sleep(PULL_INTERVAL_SECONDS)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the list for a state dump."""
        return {
            'index': self.index,
            'stale': self.is_stale,
            'instances': [
                dataclasses.asdict(row) | {'address': str(row.address)}
                for row in self.instances
            ],
        }

    def _update_seeds(self) -> None:
        now = self._clock.monotonic()
        self._heartbeat_protocol.membership.update_seeds(
            [
                members.Member(row.id, row.address, row.place)
                for row in self.instances
                if row.service == ENTRY_SERVICE and not row.leaving
            ],
            now,
        )

    def _on_heartbeat(self, heartbeat: heartbeat_message.Heartbeat) -> None:
        if heartbeat.listing == self.index:
            self._confirmed_at = self._clock.monotonic()
        elif heartbeat.listing > self.index or (
            heartbeat.listing and self.is_stale
        ):
            self._newer_peer = heartbeat.own
            self._newer_list_seen.set()

    def _pull(self, peer: members.Member) -> None:
        body = codec.schema.ListRequest.new_message(
            above=self.index
        ).to_bytes()
        try:
            answer = self._link.call(
                peer.address, 'list', body, PULL_TIMEOUT_SECONDS
            )
            with codec.open_struct(
                codec.schema.ListAnswer, answer.body
            ) as found:
                index, data = found.index, bytes(found.rows)
            if data:
                self.replace(source.Listing(index, _decode(data)))
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'list_pull_failed',
                extra={'peer': peer.instance, 'reason': str(error)},
            )

    def _on_request(self, message: codec.Message) -> bytes:
        with codec.open_struct(
            codec.schema.ListRequest, message.body
        ) as request:
            is_same = request.above == self.index
        rows = (
            b''
            if is_same
            else zlib.compress(_ROWS_ADAPTER.dump_json(self.instances))
        )
        return codec.schema.ListAnswer.new_message(
            index=self.index, rows=rows
        ).to_bytes()


def _decode(data: bytes) -> tuple[instance_list.Instance, ...]:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_LIST_BYTES)
        if decompressor.eof:
            return _ROWS_ADAPTER.validate_json(text)
    except (zlib.error, pydantic.ValidationError) as error:
        raise config_errors.ConfigError(
            'a pulled instance list is damaged'
        ) from error
    raise config_errors.ConfigError(
        'a pulled instance list is truncated or exceeds '
        f'{MAX_LIST_BYTES} bytes'
    )
