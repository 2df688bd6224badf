"""The published JSON Schemas of objects and settings."""

import typing

import pydantic

from kingcupfront_config import objects
from kingcupfront_config import settings

DIALECT = 'https://json-schema.org/draft/2020-12/schema'


def schemas_by_name() -> dict[str, dict[str, typing.Any]]:
    """Return the schema of a file of objects, of a set and of settings."""
    file_of_objects: pydantic.TypeAdapter[typing.Any] = pydantic.TypeAdapter(
        list[objects.AnyObject]
    )
    found = {
        'objects': file_of_objects.json_schema(),
        'set': objects.ObjectSet.model_json_schema(),
        'settings': settings.Settings.model_json_schema(),
    }
    return {name: {'$schema': DIALECT} | found[name] for name in found}
