"""Addresses of processes, by IP number and port."""

import ipaddress
import typing

from kingcupfront_core import errors

MAX_PORT = 65535


class Address(typing.NamedTuple):
    """Where a process listens.

    :param host: an IP number.
    :param port: a port number.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Read an address such as ``127.0.0.1:8080``.

        :param text: the text to read.
        :raises BadInputError: if it is not an IP number and a port.
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
            raise errors.BadInputError(f'no such port: {text!r}')
        return cls(host, number)

    def __str__(self) -> str:
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'
