"""Gathers the events of a generation into one plain answer."""

import json
import typing

from kingcupfront_stream import errors
from kingcupfront_stream import sequence
from kingcupfront_stream import sse

CHAT_CHUNK = 'chat.completion.chunk'
CHAT_WHOLE = 'chat.completion'


class CompletionAccumulator:
    """The parts of a plain answer."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget all parts, since another generation begins."""
        self._head: dict[str, typing.Any] = {}
        self._choices_by_index: dict[int, dict[str, typing.Any]] = {}

    def add(self, events: list[sse.Event]) -> None:
        """Take in the next events.

        :raises BrokenError: if one is not what the API describes.
        """
        for event in events:
            if event.data == sequence.DONE:
                continue
            try:
                chunk = json.loads(event.data)
                for choice in chunk['choices']:
                    index = choice['index']
                    known = self._choices_by_index.setdefault(index, {})
                    _merge(known, choice)
            except (ValueError, LookupError, TypeError) as error:
                raise errors.BrokenError('an event has no choices') from error
            self._head |= chunk

    def answer(self) -> dict[str, typing.Any]:
        """Return the whole answer."""
        result = {
            name: value
            for name, value in self._head.items()
            if name != 'usage' or value
        }
        chat = result.get('object') == CHAT_CHUNK
        if chat:
            result['object'] = CHAT_WHOLE
        result['choices'] = [
            _choice(choice, chat)
            for _, choice in sorted(self._choices_by_index.items())
        ]
        return result


def _choice(
    choice: dict[str, typing.Any], chat: bool
) -> dict[str, typing.Any]:
    if not chat:
        return choice
    rest = {n: v for n, v in choice.items() if n != 'delta'}
    message = {'role': 'assistant', 'content': None} | choice['delta']
    return rest | {'message': message}


def _merge(known: dict[str, typing.Any], fresh: dict[str, typing.Any]) -> None:
    for name, value in fresh.items():
        old = known.get(name)
        if old is None or value is None or name in ('index', 'role', 'id'):
            known[name] = old if value is None else value
        elif isinstance(value, dict) and isinstance(old, dict):
            _merge(old, value)
        elif isinstance(value, list) and isinstance(old, list):
            _merge_list(old, value)
        elif isinstance(value, str) and isinstance(old, str):
            known[name] = old + value
        else:
            known[name] = value


def _merge_list(known: list[typing.Any], fresh: list[typing.Any]) -> None:
    for item in fresh:
        index = item.get('index') if isinstance(item, dict) else None
        same = [k for k in known if index is not None and k['index'] == index]
        if same:
            _merge(same[0], item)
        else:
            known.append(item)
