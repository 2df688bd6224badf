"""The instance list, kept the same on all entries.

Watchers read it from the platform; the others take it from peers, so that
the calls on the platform don't grow with the fleet.
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
STALE_SECONDS = 60.0
MAX_LIST_BYTES = 8_000_000

_ROWS = pydantic.TypeAdapter(tuple[instance_list.Instance, ...])


class InstanceListSync:
    """Holds the newest list that the platform or a peer has shown.

    :param link: calls to other entries.
    :param beats: the membership, which the list seeds.
    :param time: the clock.
    """

    def __init__(
        self,
        link: links.Link,
        beats: heartbeats.HeartbeatProtocol,
        time: clock.Clock,
    ) -> None:
        self.index = 0
        self.instances: tuple[instance_list.Instance, ...] = ()
        self.listeners: list[typing.Callable[[], None]] = []
        self._link = link
        self._beats = beats
        self._clock = time
        self._confirmed_at = time.monotonic()
        self._ahead: members.Member | None = None
        self._news = event.Event()
        link.handlers.register('list')(self._on_request)
        beats.observers.append(self._observe)

    @property
    def stale(self) -> bool:
        """Whether no peer has shown this list, or a newer one, for long."""
        age = self._clock.monotonic() - self._confirmed_at
        return age > STALE_SECONDS

    def take(self, fresh: source.Listing) -> None:
        """Take in a list that was read from the platform or a peer."""
        self._confirmed_at = self._clock.monotonic()
        changed = fresh.instances != self.instances
        announced = fresh.index != self.index
        self.index, self.instances = fresh.index, fresh.instances
        if not changed:
            return
        self._seed()
        for listener in self.listeners:
            listener()
        if announced:
            self._beats.announce()

    def follow_peers(self) -> None:
        """Take the list from peers that have a newer one, for ever."""
        while True:
            self._news.wait()
            self._news.clear()
            peer, self._ahead = self._ahead, None
            if peer is not None:
                self._pull(peer)
            gevent.sleep(PULL_INTERVAL_SECONDS)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the list for a state dump."""
        return {
            'index': self.index,
            'stale': self.stale,
            'instances': [
                dataclasses.asdict(row) | {'address': str(row.address)}
                for row in self.instances
            ],
        }

    def _seed(self) -> None:
        now = self._clock.monotonic()
        self._beats.membership.update_seeds(
            [
                members.Member(row.id, row.address, row.place)
                for row in self.instances
                if row.service == ENTRY_SERVICE and not row.leaving
            ],
            now,
        )

    def _observe(self, item: heartbeat_message.Heartbeat) -> None:
        if item.listing == self.index:
            self._confirmed_at = self._clock.monotonic()
        elif item.listing > self.index or (item.listing and self.stale):
            self._ahead = item.own
            self._news.set()

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
                self.take(source.Listing(index, _decode(data)))
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'list_pull_failed',
                extra={'peer': peer.instance, 'reason': str(error)},
            )

    def _on_request(self, message: codec.Message) -> bytes:
        with codec.open_struct(
            codec.schema.ListRequest, message.body
        ) as asked:
            same = asked.above == self.index
        rows = b'' if same else zlib.compress(_ROWS.dump_json(self.instances))
        return codec.schema.ListAnswer.new_message(
            index=self.index, rows=rows
        ).to_bytes()


def _decode(data: bytes) -> tuple[instance_list.Instance, ...]:
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_LIST_BYTES)
        if inflater.eof:
            return _ROWS.validate_json(text)
    except (zlib.error, pydantic.ValidationError) as error:
        raise config_errors.ConfigError('a damaged list') from error
    raise config_errors.ConfigError('a list that is too large')
