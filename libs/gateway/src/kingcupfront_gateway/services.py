"""Chooses the service of a request and filters end-to-end headers."""

import random

from kingcupfront_gateway import objects

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)


def choose_service(route: objects.Route, rng: random.Random) -> str:
    """Return a random service of a route, according to the weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


def end_to_end_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> list[tuple[bytes, bytes]]:
    """Return the headers that are not specific to one connection."""
    connection_specific = {
        name.strip().lower()
        for field, value in headers
        if field.lower() == b'connection'
        for name in value.split(b',')
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in connection_specific
    ]
