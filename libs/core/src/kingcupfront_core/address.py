"""Network addresses: an IP address and a port."""

import ipaddress
import typing

from kingcupfront_core import errors

MAX_PORT = 65535


class Address(typing.NamedTuple):
    """The IP address and port that a process listens on.

    :param host: an IPv4 or IPv6 address, without brackets.
    :param port: a port number from 0 to 65535.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address such as ``127.0.0.1:8080`` or ``[::1]:8080``.

        :param text: the text to parse.
        :raises BadInputError: if the host is not an IP address or the port
            is not a number from 0 to 65535.
        """
        host, _, port = text.rpartition(':')
        host = host.removeprefix('[').removesuffix(']')
        try:
            ipaddress.ip_address(host)
            number = int(port)
        except ValueError as error:
            raise errors.BadInputError(
                f'not an IP number and port: {text!r}'
            ) from error
        if not 0 <= number <= MAX_PORT:
            raise errors.BadInputError(
                f'port {number} out of range 0 to {MAX_PORT}: {text!r}'
            )
        return cls(host, number)

    def __str__(self) -> str:
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'
