"""Encodes calls and their results as messages between entries."""

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import errors
from kingcupfront_once import call
from kingcupfront_peer import codec
from kingcupfront_route import errors as route_errors

# Each of these is raised before any byte of the request is sent to a target.
NOT_RUN_ERRORS = (
    core_errors.BadInputError,
    route_errors.RoutingError,
    errors.NotReadyError,
)


def encode_call(key: str, request: call.Call) -> bytes:
    """Return the message body for a call and its idempotency key.

    :param key: the idempotency key.
    :param request: the call.
    """
    return codec.schema.Forward.new_message(
        key=key,
        team=request.team,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=_encode_headers(request.headers),
        body=request.body,
        timeoutSeconds=request.timeout_seconds,
        handedOver=True,
    ).to_bytes()


def decode_call(data: bytes) -> tuple[str, call.Call]:
    """Return the idempotency key and the call in a message body.

    :param data: a message body made by :func:`encode_call`.
    :raises FrameError: if the message body cannot be decoded.
    """
    with codec.open_struct(codec.schema.Forward, data) as struct:
        request = call.Call(
            service=struct.service,
            team=struct.team,
            method=struct.method,
            path=struct.path,
            headers=tuple((h.name, h.value) for h in struct.headers),
            body=bytes(struct.body),
            timeout_seconds=struct.timeoutSeconds,
        )
        return struct.key, request


def encode_result(result: call.Result) -> bytes:
    """Return the message body for the result of a call."""
    return codec.schema.ForwardAnswer.new_message(
        outcome=str(result.outcome),
        status=result.status,
        headers=_encode_headers(result.headers),
        body=result.body,
        code=result.code,
        reason=result.reason,
        replayed=result.replayed,
        bodyDropped=result.body_dropped,
    ).to_bytes()


def decode_result(message: codec.Message) -> call.Result:
    """Return the result in another entry's answer.

    :param message: the answer.
    :raises FrameError: if its body cannot be decoded.
    """
    with codec.open_struct(codec.schema.ForwardAnswer, message.body) as struct:
        return call.Result(
            outcome=outcomes.Outcome(struct.outcome),
            status=struct.status,
            headers=tuple((h.name, h.value) for h in struct.headers),
            body=bytes(struct.body),
            code=struct.code,
            reason=struct.reason,
            replayed=struct.replayed,
            body_dropped=struct.bodyDropped,
        )


def outcome_of(error: core_errors.KingcupfrontError) -> outcomes.Outcome:
    """Return the outcome of the request that ended with an error."""
    known = getattr(error, 'outcome', None)
    if known is not None:
        return known
    if isinstance(error, NOT_RUN_ERRORS):
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN


def failure_result(error: core_errors.KingcupfrontError) -> call.Result:
    """Return the result of a call that ended with an error."""
    return call.Result(outcome_of(error), code=error.code, reason=str(error))


def _encode_headers(headers: call.Headers) -> list[dict[str, str]]:
    return [{'name': name, 'value': value} for name, value in headers]
