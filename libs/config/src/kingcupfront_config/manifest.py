"""Sets that are too large for one value of the service.

The set is cut into parts, each published under a key that holds its hash,
and then a manifest is published under the key of the set. Readers switch
when they hold every part that the manifest names, never before.
"""

from collections.abc import Callable
import hashlib
import json

import pydantic

from kingcupfront_config import errors

MAX_VALUE_BYTES = 1_000_000
PART_BYTES = 900_000
MAX_SET_BYTES = 16_000_000
MAX_PARTS = 32
MARK = b'"manifest"'

Read = Callable[[str], bytes | None]


class Part(pydantic.BaseModel):
    """One part of a set.

    :param key: the key that it is published under.
    :param sha256: its hash in hexadecimal.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    key: str
    sha256: str = pydantic.Field(pattern=r'^[0-9a-f]{64}$')


class Manifest(pydantic.BaseModel):
    """Names the parts of a set.

    :param manifest: the version of this form.
    :param revision: the revision of the set.
    :param parts: the parts in their order.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    manifest: int = pydantic.Field(ge=1, le=1)
    revision: int = pydantic.Field(ge=1)
    parts: tuple[Part, ...] = pydantic.Field(
        min_length=1, max_length=MAX_PARTS
    )


def split(key: str, data: bytes) -> dict[str, bytes]:
    """Return what to publish, in order: the last value makes the switch.

    :param key: the key of the set.
    :param data: the set as JSON.
    :raises ConfigError: if it is too large even in parts.
    """
    if len(data) <= MAX_VALUE_BYTES:
        return {key: data}
    if len(data) > MAX_SET_BYTES:
        raise errors.ConfigError(f'a set of {len(data)} bytes')
    values: dict[str, bytes] = {}
    rows = []
    for start in range(0, len(data), PART_BYTES):
        part = data[start : start + PART_BYTES]
        sha256 = hashlib.sha256(part).hexdigest()
        rows.append({'key': f'{key}-parts/{sha256}', 'sha256': sha256})
        values[rows[-1]['key']] = part
    revision = json.loads(data)['revision']
    form = {'manifest': 1, 'revision': revision, 'parts': rows}
    return values | {key: json.dumps(form).encode()}


def assemble(value: bytes, read: Read) -> bytes:
    """Return the set that a value stands for.

    :param value: the value under the key of the set.
    :param read: returns the value of another key.
    :raises ConfigError: if the manifest is broken.
    :raises SourceError: if a part is missing or not the one that is named;
        it may be there later.
    """
    if not value.lstrip().startswith(b'{') or MARK not in value[:40]:
        return value
    try:
        form = Manifest.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise errors.ConfigError('a broken manifest') from error
    parts = []
    for row in form.parts:
        part = read(row.key)
        if part is None or hashlib.sha256(part).hexdigest() != row.sha256:
            raise errors.SourceError(f'part {row.key} is not there')
        parts.append(part)
    return b''.join(parts)
