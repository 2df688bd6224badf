"""Validates requests for completions and prepares them for engines."""

import json
import typing

import pydantic

from kingcupfront_core import errors as core_errors
from kingcupfront_entry import errors

CHAT_PATH = '/v1/chat/completions'
MAX_NAME_CHARACTERS = 256
MAX_OUTPUT_TOKENS = 10_000_000
TokenCount = typing.Annotated[
    int, pydantic.Field(gt=0, le=MAX_OUTPUT_TOKENS, strict=True)
]


class Completion(pydantic.BaseModel):
    """The fields of a request that the entry uses itself.

    All other fields are passed on for the engine to validate.

    :param model: the name of the model service.
    :param messages: the prompt of the chat API.
    :param prompt: the prompt of the completions API.
    :param stream: whether the response is to be streamed.
    :param max_tokens: the caller's limit on the output, in tokens.
    :param max_completion_tokens: the newer name of ``max_tokens``; it takes
        precedence.
    :param stream_options: options for streamed responses.
    """

    model_config = pydantic.ConfigDict(extra='allow')

    model: str = pydantic.Field(min_length=1, max_length=MAX_NAME_CHARACTERS)
    messages: list[dict[str, typing.Any]] | None = pydantic.Field(
        default=None, min_length=1
    )
    prompt: str | list[typing.Any] | None = None
    stream: pydantic.StrictBool = False
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream_options: dict[str, typing.Any] | None = None

    @property
    def max_output_tokens(self) -> int | None:
        """The caller's limit on the output, in tokens."""
        return self.max_completion_tokens or self.max_tokens


def parse(data: bytes, path: str) -> Completion:
    """Return the validated request in a body.

    :param data: the body.
    :param path: the path that the request was sent to.
    :raises BadInputError: if the body is not a JSON object, or if an object
        in it has two fields of the same name.
    :raises InvalidFieldError: if a field is missing or not valid.
    """
    try:
        value = json.loads(
            data,
            object_pairs_hook=_without_duplicates,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise core_errors.BadInputError(
            f'the body is not valid JSON: {error}'
        ) from error
    if not isinstance(value, dict):
        raise core_errors.BadInputError('the body is not a JSON object')
    prompt_field = 'messages' if path == CHAT_PATH else 'prompt'
    if value.get(prompt_field) is None:
        raise errors.InvalidFieldError('the field is required', prompt_field)
    try:
        return Completion.model_validate(value)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_input=False, include_url=False)[0]
        raise errors.InvalidFieldError(
            first_error['msg'], str(first_error['loc'][0])
        ) from error


def engine_body(request: Completion, data: bytes, priority: int) -> bytes:
    """Return the request body for the engine.

    The caller's bytes are passed on unchanged if nothing has to be added.

    :param request: the validated request.
    :param data: the body as the caller sent it.
    :param priority: the team's priority, which replaces any priority in the
        body.
    """
    extra = request.model_extra or {}
    if request.stream and priority == 0 and 'priority' not in extra:
        return data
    value = json.loads(data) | {'stream': True, 'priority': priority}
    if not request.stream:
        value['stream_options'] = {'include_usage': True}
    return json.dumps(value).encode()


def _without_duplicates(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError('two fields of an object have the same name')
    return value


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not a JSON value')
