"""Entries' peer code without callers, many of them in one process."""

from collections.abc import Iterator
import contextlib
import json
import random
import typing

import gevent
from gevent import event

from kingcupfront_config import errors
from kingcupfront_config import in_force
from kingcupfront_config import instance_list
from kingcupfront_config import lineage
from kingcupfront_config import source
from kingcupfront_core import address as addresses
from kingcupfront_core import clock
from kingcupfront_entry import distribution
from kingcupfront_entry import gossip
from kingcupfront_entry import instance_list_sync
from kingcupfront_peer import codec
from kingcupfront_peer import errors as peer_errors
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import heartbeats
from kingcupfront_peer import link as links

LOOPBACK = addresses.Address('127.0.0.1', 0)
SECRET = 'shared-secret-for-measurements'


class Service:
    """A configuration service in memory that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.down = False
        self.data: bytes | None = None
        self.index = 1
        self._changed = event.Event()

    def publish(self, data: bytes) -> None:
        """Replace the value and wake the watches."""
        self.data = data
        self.index += 1
        self._changed.set()
        self._changed = event.Event()

    def read(self, index: int, wait_seconds: float) -> source.Value:
        """Return the value, waiting until its index passes ``index``."""
        self.calls += 1
        if self.down:
            raise errors.SourceError('down')
        if index == self.index:
            self._changed.wait(wait_seconds)
        return source.Value(self.index, self.data)


class Node:
    """The peer code of one entry.

    :param name: the instance's name.
    :param place: its place.
    :param service: the service that it reads while it is a watcher.
    """

    def __init__(self, name: str, place: str, service: Service) -> None:
        self.name = name
        self.place = place
        self.service = service
        self.blocked: set[addresses.Address] = set()
        self.link = links.Link(name, codec.Codec([SECRET]))
        self.held = in_force.InForce()
        self.log: list[tuple[float, lineage.Lineage]] = []
        self.held.listeners.append(self._note)
        self.beats = heartbeats.HeartbeatProtocol(
            self.link, place, rng=random.Random(name)
        )
        self.rows = instance_list_sync.InstanceListSync(
            self.link, self.beats, clock.SYSTEM
        )
        self.spread = distribution.ConfigurationDistribution(
            self.link, self.beats, self.held, clock.SYSTEM
        )
        self.beats.summarize = lambda: heartbeat_message.Summary(
            self.held.revision, self.held.digest, self.rows.index
        )
        self._wrap_cuts()

    @property
    def address(self) -> addresses.Address:
        """Where the node listens."""
        return self.beats.membership.own.address

    @property
    def row(self) -> instance_list.Instance:
        """The node's row in the instance list."""
        return instance_list.Instance(
            self.name,
            instance_list_sync.ENTRY_SERVICE,
            self.place,
            self.address,
        )

    @contextlib.contextmanager
    def running(self) -> Iterator['Node']:
        """Exchange heartbeats and sets while the block runs."""
        with self.link.listening(LOOPBACK) as where:
            with self.beats.running(where):
                tasks = [
                    gevent.spawn(self.spread.follow_peers),
                    gevent.spawn(self.rows.follow_peers),
                    gevent.spawn(gossip.pin_watchers, self.beats),
                    gevent.spawn(self._watch),
                ]
                try:
                    yield self
                finally:
                    gevent.killall(tasks)

    def _watch(self) -> None:
        self.spread.catch_up(self._read_once)
        index = 0
        while True:
            if not self.spread.is_watcher:
                index = 0
                gevent.sleep(1.0)
                continue
            try:
                value = self.service.read(index, 10.0)
            except errors.SourceError:
                gevent.sleep(1.0)
                continue
            index = value.index
            if value.data is not None:
                self.spread.put_in_force(value.data)

    def _read_once(self) -> bytes | None:
        try:
            return self.service.read(0, 0).data
        except errors.SourceError:
            return None

    def _note(self, current: typing.Any) -> None:
        now = clock.SYSTEM.monotonic()
        self.log.append((now, self.held.lineage))

    def _wrap_cuts(self) -> None:
        transmit = self.beats.datagrams.send_frame
        call = self.link.call

        def cut_transmit(to: addresses.Address, frame: bytes) -> None:
            if to not in self.blocked:
                transmit(to, frame)

        def cut_call(
            peer: addresses.Address, *arguments: typing.Any, **options: int
        ) -> codec.Message:
            if peer in self.blocked:
                raise peer_errors.PeerError(f'{peer}: cut', sent=False)
            return call(peer, *arguments, **options)

        self.beats.datagrams.send_frame = cut_transmit
        self.link.call = cut_call


def list_all(nodes: list[Node]) -> None:
    """Give each node the list of all nodes."""
    rows = tuple(node.row for node in nodes)
    for node in nodes:
        node.rows.take(source.Listing(1, rows))


def publication(
    revision: int, *bases: bytes, objects: int = 20, mark: str = 'a'
) -> bytes:
    """Return a set that follows from others.

    :param revision: its revision.
    :param bases: what it is made from.
    :param objects: the number of its objects.
    :param mark: tells it from others of the same revision.
    """
    rows = [
        {'kind': 'model', 'name': f'model-{n}', 'version': 'x' * 200}
        for n in range(objects)
    ]
    rows.append({'kind': 'model', 'name': f'mark-{mark}-{revision}'})
    history = lineage.history_after(*bases)
    value = {
        'revision': revision,
        'based_on': history[0]['revision'] if history else 0,
        'objects': rows,
        'history': history,
    }
    return json.dumps(value).encode()
