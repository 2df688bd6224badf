"""Builds the HTTP responses to requests that failed."""

import json
import logging
import math
import typing

import bottle

from kingcupfront_core import errors
from kingcupfront_core import outcomes
from kingcupfront_entry import errors as entry_errors

LOG = logging.getLogger(__name__)
OUTCOME_HEADER = 'Kingcupfront-Outcome'
REVISION_HEADER = 'Kingcupfront-Revision'

STATUS_BY_CODE = {
    'bad_input': 400,
    'bad_signature': 400,
    'bad_key': 400,
    'malformed': 400,
    'truncated': 400,
    'invalid_field': 400,
    'engine_rejected': 400,
    'not_allowed': 401,
    'unknown_service': 404,
    'no_route': 404,
    'request_timeout': 408,
    'key_reused': 409,
    'handle_expired': 410,
    'too_large': 413,
    'line_too_long': 414,
    'headers_too_large': 431,
    'team_limit': 429,
    'not_ready': 503,
    'overloaded': 503,
    'no_target': 503,
    'refused': 503,
    'engine_unavailable': 502,
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
    'over_budget': 503,
}
DEFAULT_STATUS = 500
RETRY_AFTER_STATUSES = (429, 503)
DEFAULT_RETRY_AFTER_SECONDS = 1.0


def error_body(error: errors.KingcupfrontError) -> dict[str, typing.Any]:
    """Return the JSON body for an error, as the OpenAI API defines it."""
    error_type = 'invalid_request_error'
    if not isinstance(error, errors.BadInputError):
        error_type = 'server_error'
    return {
        'error': {
            'message': str(error) or error.code,
            'type': error_type,
            'param': getattr(error, 'param', None),
            'code': error.code,
        }
    }


def failure_response(
    error: errors.KingcupfrontError, outcome: outcomes.Outcome
) -> bottle.HTTPResponse:
    """Return the response to a request that failed.

    :param error: the error.
    :param outcome: the outcome to report in the headers.
    """
    status = STATUS_BY_CODE.get(error.code, DEFAULT_STATUS)
    headers = {
        'Content-Type': 'application/json',
        OUTCOME_HEADER: str(outcome),
    }
    if status in RETRY_AFTER_STATUSES:
        retry_after_seconds = getattr(
            error, 'retry_after', DEFAULT_RETRY_AFTER_SECONDS
        )
        headers['Retry-After'] = str(max(1, math.ceil(retry_after_seconds)))
    return bottle.HTTPResponse(
        json.dumps(error_body(error)), status=status, **headers
    )


def default_error_handler(response: bottle.HTTPError) -> str:
    """Return the body of an error response that bottle generated.

    bottle responds itself to unknown routes and to uncaught exceptions.

    :param response: bottle's response; its headers are set.
    """
    error: errors.KingcupfrontError
    outcome = outcomes.Outcome.NOT_RUN
    if response.status_code >= DEFAULT_STATUS:
        outcome = outcomes.Outcome.UNKNOWN
        error = entry_errors.UnexpectedError(
            'internal error; see the log of the entry'
        )
        LOG.error(
            'unexpected_error',
            extra={'path': bottle.request.path},
            exc_info=response.exception,
        )
    else:
        error = entry_errors.NoRouteError(str(response.body))
    response.set_header('Content-Type', 'application/json')
    response.set_header(OUTCOME_HEADER, str(outcome))
    return json.dumps(error_body(error))
