"""How failures and results look to callers."""

import json
import typing

import bottle

from kingcupfront_core import errors
from kingcupfront_core import outcomes
from kingcupfront_route import errors as route_errors

OUTCOME_HEADER = 'Kingcupfront-Outcome'
REVISION_HEADER = 'Kingcupfront-Revision'

STATUS_BY_CODE = {
    'bad_input': 400,
    'bad_signature': 400,
    'bad_key': 400,
    'key_reused': 409,
    'not_allowed': 401,
    'unknown_service': 404,
    'too_large': 413,
    'not_ready': 503,
    'overloaded': 503,
    'no_target': 503,
    'team_limit': 429,
    'engine_unavailable': 502,
    'refused': 503,
    'lost': 502,
    'timed_out': 504,
    'key_expired': 410,
    'owner_gone': 504,
    'owner_unreachable': 504,
    'not_claimed': 504,
    'still_running': 504,
    'no_answer': 504,
    'answer_too_large': 502,
    'target_unreachable': 503,
    'too_many_keys': 503,
    'draining': 503,
}
DEFAULT_STATUS = 500
RETRY_STATUSES = (429, 503)


def error_body(error: errors.KingcupfrontError) -> dict[str, typing.Any]:
    """Return a failure in the shape of the OpenAI API."""
    kind = 'invalid_request_error'
    if not isinstance(error, errors.BadInputError):
        kind = 'server_error'
    return {
        'error': {
            'message': str(error) or error.code,
            'type': kind,
            'param': None,
            'code': error.code,
        }
    }


def fail(
    error: errors.KingcupfrontError, result: outcomes.Outcome
) -> bottle.HTTPResponse:
    """Return the answer to a request that failed.

    :param error: the failure.
    :param result: the outcome to report.
    """
    status = STATUS_BY_CODE.get(error.code, DEFAULT_STATUS)
    headers = {
        'Content-Type': 'application/json',
        OUTCOME_HEADER: str(result),
    }
    if status in RETRY_STATUSES:
        seconds = getattr(error, 'retry_after', 1.0)
        if isinstance(error, route_errors.RoutingError):
            seconds = error.retry_after
        headers['Retry-After'] = str(max(1, round(seconds)))
    return bottle.HTTPResponse(
        json.dumps(error_body(error)), status=status, **headers
    )
