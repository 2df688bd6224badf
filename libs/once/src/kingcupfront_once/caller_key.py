"""Idempotency keys that callers generate; each contains its creation time."""

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
    """Return the creation time in a key, in seconds of the wall clock.

    The accepted formats are UUIDv7, ULID and ``t=SECONDS;ANYTHING``.

    >>> created_at('t=1700000000;order-7')
    1700000000.0

    :param key: the caller's key.
    :raises BadKeyError: if it contains no time or is too long. No entry
        ever runs a call under such a key.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        raise errors.BadKeyError(
            f'the key is longer than {MAX_KEY_CHARACTERS} characters'
        )
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
            'the key contains no creation time: use a permit, a UUIDv7, '
            'a ULID or t=SECONDS;ANYTHING'
        )
    return (value.int >> UUID_TIMESTAMP_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def check_age(key: str, now: float) -> float:
    """Check the age of a key and return the earliest time of its first use.

    :param key: the caller's key.
    :param now: the current time of the wall clock, in seconds.
    :returns: the wall second before which no entry can have seen the key:
        its creation time less the largest tolerated clock skew.
    :raises BadKeyError: if it contains no time.
    :raises UnreadableKeyError: if it was created in the future.
    :raises KeyExpiredError: if it is older than its lifetime.
    """
    created = created_at(key)
    if created > now + MAX_CLOCK_SKEW_SECONDS:
        raise errors.UnreadableKeyError(
            f'the creation time of the key is {created - now:.1f} s in the'
            f' future; at most {MAX_CLOCK_SKEW_SECONDS:g} s are tolerated'
        )
    if created < now - LIFETIME_SECONDS:
        raise errors.KeyExpiredError(
            f'the key was created {now - created:.0f} s ago; its lifetime is'
            f' {LIFETIME_SECONDS:g} s'
        )
    return created - MAX_CLOCK_SKEW_SECONDS


def digest(team: str, key: str) -> str:
    """Return the digest that identifies a team's key between entries."""
    return hashlib.sha256(f'{team}\0{key}'.encode()).hexdigest()
