"""Serves calls to plain services, which run at most once."""

import typing
from urllib import parse

import bottle

from kingcupfront_config import objects
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import claims
from kingcupfront_entry import error_responses
from kingcupfront_entry import errors
from kingcupfront_entry import execution
from kingcupfront_entry import forwarding
from kingcupfront_entry import known_entries
from kingcupfront_entry import messages
from kingcupfront_entry import owner
from kingcupfront_entry import permits
from kingcupfront_entry import request_body
from kingcupfront_entry import state
from kingcupfront_entry import teams
from kingcupfront_once import call
from kingcupfront_once import errors as once_errors
from kingcupfront_once import sender

MAX_BODY_BYTES = 3 * 1024 * 1024
METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
SAFE_METHODS = frozenset({'GET', 'HEAD'})
KEY_HEADER = 'Idempotency-Key'
FIRST_USE_HEADER = 'Kingcupfront-First-Use'
REPLAYED_HEADER = 'Kingcupfront-Replayed'
BODY_DROPPED_HEADER = 'Kingcupfront-Body-Dropped'
# Every entry raises these errors for the same request, at any time; so no
# other entry can have run it.
DETERMINISTIC_ERRORS = (once_errors.BadKeyError, errors.TooLargeError)
PATH_SAFE_CHARACTERS = "/!$&'()*+,;=:@~"


class PlainServices:
    """Serves calls to plain services under ``/services/NAME/``.

    :param process: the state of the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._executor = execution.CallExecutor(process)
        self.members = known_entries.KnownEntries(process)
        self._key_owner = owner.KeyOwner(process, self._executor, self.members)
        self._claim_coordinator = claims.ClaimCoordinator(
            process, self._executor, self._key_owner, self.members
        )
        self._forwarder = forwarding.Forwarder(
            process, self._key_owner, self._claim_coordinator
        )
        self._permits = permits.Permits(process, self._key_owner)
        process.components_by_name['keys'] = self._key_owner
        process.components_by_name['claims'] = self._claim_coordinator

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        self._permits.mount(app)
        app.route(
            '/services/<name>/<path:path>', method=METHODS, callback=self.serve
        )

    def serve(self, name: str, path: str) -> typing.Any:
        """Return the response to a call to a plain service."""
        try:
            current = self._process.configuration
            team = teams.authenticate(
                current, bottle.request.headers.get('Authorization', '')
            )
            service = teams.authorize(current, team, name)
            result = self._run(_parse_call(service, team.name, path))
        except core_errors.KingcupfrontError as error:
            return error_responses.failure_response(error, _outcome_of(error))
        return _http_response(result)

    def _run(self, request: call.Call) -> call.Result:
        key = bottle.request.headers.get(KEY_HEADER, '')
        if not key:
            return self._executor.run(request)
        result = self._forwarder.run(key, request, _first_use())
        self._process.metrics.counter(
            'kingcupfront_keyed_requests',
            'Requests with an idempotency key by outcome and code.',
            ('outcome', 'code'),
        ).inc((str(result.outcome), result.code))
        return result


def _first_use() -> bool:
    return bottle.request.headers.get(FIRST_USE_HEADER) == 'true'


def _outcome_of(error: core_errors.KingcupfrontError) -> outcomes.Outcome:
    retry = bottle.request.headers.get(KEY_HEADER) and not _first_use()
    if retry and not isinstance(error, DETERMINISTIC_ERRORS):
        # Another entry may have accepted an earlier submission and run it.
        return outcomes.Outcome.UNKNOWN
    return messages.outcome_of(error)


def _http_response(result: call.Result) -> bottle.HTTPResponse:
    if not result.status:
        error = once_errors.NoAnswerError(result.code, result.reason)
        response = error_responses.failure_response(error, result.outcome)
    else:
        headers = dict(result.headers)
        headers[error_responses.OUTCOME_HEADER] = str(result.outcome)
        response = bottle.HTTPResponse(
            result.body, status=result.status, **headers
        )
    if result.replayed:
        response.set_header(REPLAYED_HEADER, 'true')
    if result.body_dropped:
        response.set_header(BODY_DROPPED_HEADER, 'true')
    return response


def _parse_call(service: objects.Service, team: str, path: str) -> call.Call:
    request = bottle.request
    data = request_body.read(MAX_BODY_BYTES)
    quoted = parse.quote(path, safe=PATH_SAFE_CHARACTERS)
    query = f'?{request.query_string}' if request.query_string else ''
    headers = tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in sender.STRIPPED_HEADERS
    )
    return call.Call(
        service=service.name,
        team=team,
        method=request.method,
        path=f'/{quoted}{query}',
        headers=headers,
        body=data,
        repeatable=_is_repeatable(service, request.method, f'/{path}'),
        timeout_seconds=service.timeout_seconds,
    )


def _is_repeatable(service: objects.Service, method: str, path: str) -> bool:
    for action in service.actions:
        if action.method == method and path.startswith(action.path):
            return action.repeatable
    return method in SAFE_METHODS
