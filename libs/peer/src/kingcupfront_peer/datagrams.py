"""Heartbeats as authenticated datagrams."""

from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import typing

from gevent import server

from kingcupfront_core import address as addresses
from kingcupfront_core import errors as core_errors
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import link as links

LOG = logging.getLogger(__name__)
MAX_DATAGRAM_BYTES = 4096

Receiver = typing.Callable[
    [codec.Message, heartbeat_message.Heartbeat, addresses.Address], None
]


@dataclasses.dataclass
class Traffic:
    """Datagrams of one process since it started."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class DatagramTransport:
    """Sends heartbeats and hands over those that arrive.

    :param link: the own process's link; gives name, codec and numbers.
    :param receive: takes each message that may be acted on.
    """

    def __init__(self, link: links.Link, receive: Receiver) -> None:
        self.traffic = Traffic()
        self._link = link
        self._receive = receive
        self._server: server.DatagramServer | None = None

    @contextlib.contextmanager
    def running(self, where: addresses.Address) -> Iterator[None]:
        """Receive datagrams while the block runs.

        :param where: the IP number and port to bind.
        """
        self._server = server.DatagramServer(
            tuple(where), self.handle_datagram
        )
        self._server.start()
        try:
            yield
        finally:
            self._server.stop()
            self._server = None

    def handle_datagram(self, frame: bytes, source: typing.Any) -> None:
        """Check a datagram and hand it over; never raise on bad input.

        :param frame: what arrived.
        :param source: the IP number and port that it came from.
        """
        self.traffic.received += 1
        self.traffic.received_bytes += len(frame)
        try:
            if len(frame) > MAX_DATAGRAM_BYTES:
                raise errors.FrameError(f'a datagram of {len(frame)} bytes')
            message = self._link.accept(frame)
            item = heartbeat_message.decode(message)
            self._receive(message, item, addresses.Address(*source[:2]))
        except core_errors.KingcupfrontError as error:
            self._link.record_refusal(error)

    def send_heartbeat(
        self,
        to: addresses.Address,
        kind: str,
        item: heartbeat_message.Heartbeat,
        number: int = 0,
        audience: int = 0,
    ) -> None:
        """Send one heartbeat.

        :param to: where to.
        :param kind: the datagram's kind.
        :param item: what it says.
        :param number: its number; 0 takes a new one.
        :param audience: the incarnation that alone may take it; 0 is any.
        """
        message = self._link.build_message(
            kind,
            heartbeat_message.encode(item),
            number=number,
            audience=audience,
        )
        self.send_frame(to, self._link.frame_codec.encode(message))

    def send_frame(self, to: addresses.Address, frame: bytes) -> None:
        """Send one frame; a failure is like a loss.

        :param to: where to.
        :param frame: an encoded message.
        """
        if self._server is None:
            return
        try:
            self._server.sendto(frame, tuple(to))
        except OSError as error:
            LOG.debug('datagram_lost', extra={'reason': str(error)})
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(frame)
