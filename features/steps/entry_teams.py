"""Steps for the API keys of teams."""

import hmac
from unittest import mock

import behave

from kingcupfront_config import objects
from kingcupfront_core import team_key
from kingcupfront_entry import errors
from kingcupfront_entry import teams


def team(name, *keys):
    hashes = [team_key.digest(key) for key in keys]
    return {'kind': 'team', 'name': name, 'key_hashes': hashes}


@behave.given('{count:d} teams with a key each, and one with two keys')
def make_teams(context, count):
    rows = [team(f'team-{n}', f'key-{n}') for n in range(count)]
    rows.append(team('rotated', 'key-old', 'key-new'))
    context.current = objects.ObjectSet.model_validate(
        {'revision': 1, 'based_on': 0, 'objects': rows}
    )


def result_of(context, header):
    try:
        return teams.authenticate(context.current, header).name
    except errors.NotAllowedError as error:
        return error.code


@behave.then('the Authorization header "{header}" gives {result}')
def header_of(context, header, result):
    header = '' if header == 'none' else header
    assert result_of(context, header) == result


@behave.then('the hash of a key, sent as a key, gives {result}')
def hash_of(context, result):
    header = f'Bearer {team_key.digest("key-0")}'
    assert result_of(context, header) == result


@behave.then('a look-up compares the hashes of one team only')
def compares(context):
    with mock.patch.object(
        hmac, 'compare_digest', wraps=hmac.compare_digest
    ) as compare:
        assert result_of(context, 'Bearer key-7') == 'team-7'
        assert result_of(context, 'Bearer unknown') == 'not_allowed'
    assert compare.call_count == 1, compare.call_count
