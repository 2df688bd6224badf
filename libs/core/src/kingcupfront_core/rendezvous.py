"""Rendezvous hashing: processes agree on owners without communication."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order candidates by their hash weight for a key, the owner first.

    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    :param key: the key whose owner is sought.
    :param names: the names of the candidates.
    """

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()), name

    return sorted(names, key=weight, reverse=True)
