"""Plain services: calls that may not run twice."""

import typing

import bottle

from kingcupfront_config import objects
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import answer
from kingcupfront_entry import errors
from kingcupfront_entry import requests
from kingcupfront_entry import state
from kingcupfront_entry import teams
from kingcupfront_once import call
from kingcupfront_once import sender
from kingcupfront_route import job

MAX_BODY_BYTES = 4 * 1024 * 1024
METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
SAFE_METHODS = frozenset({'GET', 'HEAD'})
NO_ANSWER_STATUS = {
    outcomes.Outcome.NOT_RUN: 503,
    outcomes.Outcome.UNKNOWN: 504,
}


class Services:
    """Serves calls to plain services under ``/services/NAME/``.

    :param process: the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._sender = sender.Sender()

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.route(
            '/services/<name>/<path:path>', method=METHODS, callback=self.serve
        )

    def serve(self, name: str, path: str) -> typing.Any:
        """Answer a call to a plain service."""
        try:
            current = self._process.configuration
            team = teams.authenticate(
                current, bottle.request.headers.get('Authorization', '')
            )
            service = teams.authorize(current, team, name)
            result = self._run(_call(service, team.name, path))
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, outcomes.Outcome.NOT_RUN)
        headers = dict(result.headers)
        headers[answer.OUTCOME_HEADER] = str(result.outcome)
        status = result.status or NO_ANSWER_STATUS[result.outcome]
        return bottle.HTTPResponse(result.body, status=status, **headers)

    def _run(self, work: call.Call) -> call.Result:
        with requests.in_progress(self._process, work.team, work.service) as (
            activity,
            ending,
        ):
            wanted = job.Job(
                id=activity.id,
                team=work.team,
                service=work.service,
                place=self._process.settings.place,
            )
            with self._process.router.place(wanted) as placement:
                ending.target = placement.target.id
                result = self._sender.send(placement.target.address, work)
                placement.outcome = ending.outcome = result.outcome
                return result


def _call(service: objects.Service, team: str, path: str) -> call.Call:
    request = bottle.request
    if request.content_length > MAX_BODY_BYTES:
        raise errors.TooLargeError('the body is too large')
    query = f'?{request.query_string}' if request.query_string else ''
    headers = tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in sender.HOP_HEADERS
    )
    return call.Call(
        service=service.name,
        team=team,
        method=request.method,
        path=f'/{path}{query}',
        headers=headers,
        body=request.body.read(MAX_BODY_BYTES + 1),
        repeatable=_repeatable(service, request.method, f'/{path}'),
        timeout_seconds=service.timeout_seconds,
    )


def _repeatable(service: objects.Service, method: str, path: str) -> bool:
    for action in service.actions:
        if action.method == method and path.startswith(action.path):
            return action.repeatable
    return method in SAFE_METHODS
