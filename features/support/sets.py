"""Published sets with a history, and how to publish them."""

import json

from features.support import fleet
from kingcupfront_config import lineage

KEY = 'kingcupfront/objects'


def put(platform, key, data):
    response = fleet.HTTP.request(
        'PUT', f'{platform.url}/v1/kv/{key}', body=data
    )
    assert response.status == 200, response.data


def made(revision, *bases, objects=()):
    history = lineage.history_after(*bases)
    value = {
        'revision': revision,
        'based_on': history[0]['revision'] if history else 0,
        'objects': [*fleet.simple_objects(), *objects],
        'history': history,
    }
    return json.dumps(value).encode()
