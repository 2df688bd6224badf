"""Idempotency keys that callers make themselves; they carry their time."""

import hashlib
import re
import uuid

from kingcupfront_once import errors

LIFETIME_SECONDS = 600.0
MAX_CLOCK_SKEW_SECONDS = 5.0
MILLISECONDS_PER_SECOND = 1000
MAX_KEY_CHARACTERS = 255
UUID_VERSION = 7
UUID_TIMESTAMP_SHIFT_BITS = 80
ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
ULID_TIMESTAMP_CHARACTERS = 10
ULID_PATTERN = re.compile(f'[0-7][{ULID_ALPHABET}]{{25}}')
TIMESTAMPED_KEY_PATTERN = re.compile(r't=([0-9]{1,12}(?:\.[0-9]{1,6})?);.+')


def created_at(key: str) -> float:
    """Return the wall second at which a key says it was made.

    Accepted are UUIDs of version 7, ULIDs, and ``t=SECONDS;ANYTHING``.

    >>> created_at('t=1700000000;order-7')
    1700000000.0

    :param key: the caller's key.
    :raises BadKeyError: if it carries no time. Nobody ever runs such a
        key.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        raise errors.BadKeyError('the key is too long')
    timestamped = TIMESTAMPED_KEY_PATTERN.fullmatch(key)
    if timestamped:
        return float(timestamped.group(1))
    if ULID_PATTERN.fullmatch(key.upper()):
        milliseconds = 0
        for letter in key.upper()[:ULID_TIMESTAMP_CHARACTERS]:
            milliseconds = milliseconds * len(
                ULID_ALPHABET
            ) + ULID_ALPHABET.index(letter)
        return milliseconds / MILLISECONDS_PER_SECOND
    try:
        value = uuid.UUID(key)
    except ValueError:
        value = None
    if value is None or value.version != UUID_VERSION:
        raise errors.BadKeyError(
            'the key carries no time: use a permit, a UUID of version 7, '
            'a ULID or t=SECONDS;ANYTHING'
        )
    return (value.int >> UUID_TIMESTAMP_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def check_age(key: str, now: float) -> float:
    """Return the wall second before which a key cannot have been used.

    :param key: the caller's key.
    :param now: the wall second.
    :raises BadKeyError: if it carries no time.
    :raises UnreadableKeyError: if its time is to come.
    :raises KeyExpiredError: if its lifetime is over.
    """
    created = created_at(key)
    if created > now + MAX_CLOCK_SKEW_SECONDS:
        raise errors.UnreadableKeyError('the time in the key is yet to come')
    if created < now - LIFETIME_SECONDS:
        raise errors.KeyExpiredError('the key is too old')
    return created - MAX_CLOCK_SKEW_SECONDS


def digest(team: str, key: str) -> str:
    """Return what stands for a team's key in tables and messages."""
    return hashlib.sha256(f'{team}\0{key}'.encode()).hexdigest()
