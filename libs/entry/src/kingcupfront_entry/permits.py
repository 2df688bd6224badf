"""Issues permits to callers in batches."""

import json
import typing

import bottle
import pydantic

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import error_responses
from kingcupfront_entry import errors
from kingcupfront_entry import owner
from kingcupfront_entry import request_body
from kingcupfront_entry import state
from kingcupfront_entry import teams
from kingcupfront_once import permit

MAX_COUNT = 100
MAX_LIFETIME_SECONDS = 600.0
DEFAULT_LIFETIME_SECONDS = 120.0
MAX_BODY_BYTES = 4096


class PermitRequest(pydantic.BaseModel):
    """The body of a request for permits.

    :param count: the number of permits.
    :param service: the service that they are valid for; empty means any.
    :param lifetime_seconds: how long they are valid, in seconds.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    count: int = pydantic.Field(default=1, ge=1, le=MAX_COUNT)
    service: str = ''
    lifetime_seconds: float = pydantic.Field(
        default=DEFAULT_LIFETIME_SECONDS, gt=0, le=MAX_LIFETIME_SECONDS
    )


class Permits:
    """Serves ``POST /v1/permits``.

    :param process: the state of the process.
    :param key_owner: issues the permits.
    """

    def __init__(
        self, process: state.State, key_owner: owner.KeyOwner
    ) -> None:
        self._process = process
        self._key_owner = key_owner
        self._permits = permit.Permits(process.settings.secret_values)

    def mount(self, app: bottle.Bottle) -> None:
        """Add the route to an application."""
        app.post('/v1/permits', callback=self.issue)

    def issue(self) -> typing.Any:
        """Return the response with newly issued permits."""
        try:
            current = self._process.configuration
            team = teams.authenticate(
                current, bottle.request.headers.get('Authorization', '')
            )
            permit_request = _parse_request()
            if permit_request.service:
                teams.authorize(current, team, permit_request.service)
            if self._process.draining:
                raise errors.DrainingError(
                    'this entry is shutting down and issues no permits'
                )
            issued_permits = [
                self._key_owner.issue(
                    team.name,
                    permit_request.service,
                    permit_request.lifetime_seconds,
                )
                for _ in range(permit_request.count)
            ]
        except core_errors.KingcupfrontError as error:
            return error_responses.failure_response(
                error, outcomes.Outcome.NOT_RUN
            )
        return {
            'permits': [
                {
                    'key': self._permits.write(issued),
                    'expires_at': issued.expires_at,
                }
                for issued in issued_permits
            ]
        }


def _parse_request() -> PermitRequest:
    data = request_body.read(MAX_BODY_BYTES) or b'{}'
    try:
        return PermitRequest.model_validate(json.loads(data))
    except ValueError as error:
        raise core_errors.BadInputError(
            f'the request for permits is not valid: {error}'
        ) from error
