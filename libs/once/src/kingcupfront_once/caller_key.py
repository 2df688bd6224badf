"""Idempotency keys that callers make themselves; they carry their time."""

import hashlib
import re
import uuid

from kingcupfront_once import errors

LIFETIME_SECONDS = 600.0
MAX_CLOCK_SKEW_SECONDS = 5.0
MILLISECONDS_PER_SECOND = 1000
MAX_LENGTH = 255
UUID_VERSION = 7
UUID_TIME_SHIFT = 80
ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
ULID_TIME_LENGTH = 10
ULID = re.compile(f'[0-7][{ULID_ALPHABET}]{{25}}')
STAMPED = re.compile(r't=([0-9]{1,12}(?:\.[0-9]{1,6})?);.+')


def made_at(key: str) -> float:
    """Return the wall second at which a key says it was made.

    Accepted are UUIDs of version 7, ULIDs, and ``t=SECONDS;ANYTHING``.

    >>> made_at('t=1700000000;order-7')
    1700000000.0

    :param key: the caller's key.
    :raises BadKeyError: if it carries no time. Nobody ever runs such a
        key.
    """
    if len(key) > MAX_LENGTH:
        raise errors.BadKeyError('the key is too long')
    stamped = STAMPED.fullmatch(key)
    if stamped:
        return float(stamped.group(1))
    if ULID.fullmatch(key.upper()):
        number = 0
        for letter in key.upper()[:ULID_TIME_LENGTH]:
            number = number * len(ULID_ALPHABET) + ULID_ALPHABET.index(letter)
        return number / MILLISECONDS_PER_SECOND
    try:
        value = uuid.UUID(key)
    except ValueError:
        value = None
    if value is None or value.version != UUID_VERSION:
        raise errors.BadKeyError(
            'the key carries no time: use a permit, a UUID of version 7, '
            'a ULID or t=SECONDS;ANYTHING'
        )
    return (value.int >> UUID_TIME_SHIFT) / MILLISECONDS_PER_SECOND


def check_age(key: str, now: float) -> float:
    """Return the wall second before which a key cannot have been used.

    :param key: the caller's key.
    :param now: the wall second.
    :raises BadKeyError: if it carries no time, or one that is to come.
    :raises KeyExpiredError: if its lifetime is over.
    """
    made = made_at(key)
    if made > now + MAX_CLOCK_SKEW_SECONDS:
        raise errors.BadKeyError('the time in the key is yet to come')
    if made < now - LIFETIME_SECONDS:
        raise errors.KeyExpiredError('the key is too old')
    return made - MAX_CLOCK_SKEW_SECONDS


def digest(team: str, key: str) -> str:
    """Return what stands for a team's key in tables and messages."""
    return hashlib.sha256(f'{team}\0{key}'.encode()).hexdigest()
