"""Transport of heartbeats as authenticated UDP datagrams."""

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

HeartbeatHandler = typing.Callable[
    [codec.Message, heartbeat_message.Heartbeat, addresses.Address], None
]


@dataclasses.dataclass
class Traffic:
    """Counts of the datagrams of one process since it started."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class DatagramTransport:
    """Sends heartbeats and passes received ones to a handler.

    :param link: this process's link; gives instance name, codec and message
        numbers.
    :param handle_heartbeat: is called with each authenticated message, its
        heartbeat and the address that it came from.
    """

    def __init__(
        self, link: links.Link, handle_heartbeat: HeartbeatHandler
    ) -> None:
        self.traffic = Traffic()
        self._link = link
        self._handle_heartbeat = handle_heartbeat
        self._server: server.DatagramServer | None = None

    @contextlib.contextmanager
    def running(self, where: addresses.Address) -> Iterator[None]:
        """Receive datagrams while the block runs.

        :param where: the IP address and port to bind.
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
        """Check a received datagram and pass it on; bad input never raises.

        :param frame: the content of the datagram.
        :param source: the IP address and port of the sender.
        """
        self.traffic.received += 1
        self.traffic.received_bytes += len(frame)
        try:
            if len(frame) > MAX_DATAGRAM_BYTES:
                raise errors.FrameError(
                    f'datagram too large: {len(frame)} bytes, '
                    f'at most {MAX_DATAGRAM_BYTES}'
                )
            message = self._link.accept(frame)
            heartbeat = heartbeat_message.decode(message)
            self._handle_heartbeat(
                message, heartbeat, addresses.Address(*source[:2])
            )
        except core_errors.KingcupfrontError as error:
            self._link.record_refusal(error)

    def send_heartbeat(
        self,
        to: addresses.Address,
        kind: str,
        heartbeat: heartbeat_message.Heartbeat,
        number: int = 0,
        audience: int = 0,
    ) -> None:
        """Send one heartbeat.

        :param to: the address of the receiver.
        :param kind: the datagram's kind.
        :param heartbeat: the heartbeat.
        :param number: the number of the message; 0 takes a new one.
        :param audience: the only incarnation that may accept it; 0 is any.
        """
        message = self._link.build_message(
            kind,
            heartbeat_message.encode(heartbeat),
            number=number,
            audience=audience,
        )
        self.send_frame(to, self._link.frame_codec.encode(message))

    def send_frame(self, to: addresses.Address, frame: bytes) -> None:
        """Send one frame; a send error is treated like a lost datagram.

        :param to: the address of the receiver.
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
