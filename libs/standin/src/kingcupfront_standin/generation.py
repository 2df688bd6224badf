"""A generation on the stand-in for a model engine."""

import dataclasses
import json
import secrets
import time
import typing

from gevent import event

DEFAULT_TOKENS = 20
RUN_BYTES = 6


@dataclasses.dataclass
class Generation:
    """One generation and the tokens that it has so far.

    :param id: the id that the client gave.
    :param total: how many tokens it will have.
    :param chat: whether the chat API was called.
    :param model: the model's name.
    :param usage: whether an event with the usage follows the tokens.
    :param prompt_tokens: length of the prompt in tokens.
    :param run: the engine's own name for it.
    :param readers: connections that read it now.
    :param last_reader: the number of the newest of all its connections.
    """

    id: str
    total: int = DEFAULT_TOKENS
    chat: bool = True
    model: str = ''
    usage: bool = False
    prompt_tokens: int = 0
    run: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(RUN_BYTES)
    )
    tokens: list[str] = dataclasses.field(default_factory=list)
    cancelled: bool = False
    readers: int = 0
    last_reader: int = 0
    grown: event.Event = dataclasses.field(default_factory=event.Event)

    @classmethod
    def from_request(
        cls, id: str, body: dict[str, typing.Any]
    ) -> 'Generation':
        """Return a new generation for a request's JSON."""
        prompt = body.get('messages') or body.get('prompt') or ''
        options = body.get('stream_options') or {}
        return cls(
            id=id,
            total=int(body.get('max_tokens') or DEFAULT_TOKENS),
            chat='messages' in body,
            model=str(body.get('model')),
            usage=bool(options.get('include_usage')),
            prompt_tokens=len(json.dumps(prompt).split()),
        )

    @property
    def ended(self) -> bool:
        """Whether no token will follow."""
        return self.cancelled or len(self.tokens) >= self.total

    @property
    def last(self) -> int:
        """The number of the last event, the end left aside."""
        return self.total + self.usage

    @property
    def available(self) -> int:
        """The number of the last event that can be sent now."""
        count = len(self.tokens)
        return self.last if count >= self.total else count

    def event(self, number: int) -> bytes:
        """Return an event as it is sent."""
        if number > self.last:
            return self.render(number, '[DONE]')
        data: dict[str, typing.Any] = {
            'id': self.id,
            'object': 'text_completion',
            'created': int(time.time()),
            'model': self.model,
            'choices': [],
        }
        if self.chat:
            data['object'] = 'chat.completion.chunk'
        if number > self.total:
            data['usage'] = {
                'prompt_tokens': self.prompt_tokens,
                'completion_tokens': self.total,
                'total_tokens': self.prompt_tokens + self.total,
            }
        else:
            data['choices'] = [self._choice(number)]
        return self.render(number, json.dumps(data))

    def render(self, number: int, data: str) -> bytes:
        """Return an event with a number and its data."""
        return f'id: {self.run}.{number}\ndata: {data}\n\n'.encode()

    def _choice(self, number: int) -> dict[str, typing.Any]:
        text = self.tokens[number - 1]
        finish = 'stop' if number == self.total else None
        choice: dict[str, typing.Any] = {'index': 0, 'finish_reason': finish}
        if self.chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        return choice
