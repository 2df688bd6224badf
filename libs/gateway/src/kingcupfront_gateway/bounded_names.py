"""Names of bounded length for what callers and others name at any length.

Load pattern: what gateways record under such a name is kept for long and told
to many others, so that neither the memory nor the messages may grow with it.
"""

import hashlib

DIGEST_PREFIX = 'blake2b-128:'
DIGEST_BYTES = 16


def shorten(name: str, max_characters: int) -> str:
    """Return a name, or a digest of it if it is too long.

    :param name: the name, of any length.
    :param max_characters: the longest name that stays as it is; that of a
        digest has 44.
    """
    return name if len(name) <= max_characters else digest(name)


def is_digest(name: str) -> bool:
    """Return whether a name is the digest of another one.

    Those that are named as they are must not look like digests.
    """
    return name.startswith(DIGEST_PREFIX)


def digest(name: str) -> str:
    """Return the digest of a name.

    It is BLAKE2b of 128 bits (RFC 7693), as ``b2sum -l 128`` prints it.
    """
    found = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES)
    return DIGEST_PREFIX + found.hexdigest()
