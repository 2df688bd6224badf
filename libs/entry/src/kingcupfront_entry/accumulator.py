"""Accumulates the chunks of a stream into one completion."""

import json
import typing

from kingcupfront_stream import errors
from kingcupfront_stream import sequence
from kingcupfront_stream import sse

CHAT_CHUNK = 'chat.completion.chunk'
CHAT_COMPLETION = 'chat.completion'


class CompletionAccumulator:
    """A completion that is built up from streamed chunks."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Discard all chunks, when the generation is restarted."""
        self._fields: dict[str, typing.Any] = {}
        self._choices_by_index: dict[int, dict[str, typing.Any]] = {}

    def add(self, events: list[sse.Event]) -> None:
        """Add the chunks of the next events.

        :param events: the events; the one that marks the end is skipped.
        :raises BrokenError: if an event is not a chunk of a completion.
        """
        for event in events:
            if event.data == sequence.DONE:
                continue
            try:
                chunk = json.loads(event.data)
                for choice in chunk['choices']:
                    index = choice['index']
                    merged = self._choices_by_index.setdefault(index, {})
                    _merge(merged, choice)
            except (ValueError, LookupError, TypeError) as error:
                raise errors.BrokenError(
                    'an event of the engine is not a chunk with choices'
                ) from error
            self._fields |= chunk

    def as_completion(self) -> dict[str, typing.Any]:
        """Return the completion, with the usage if an event had one."""
        result = {
            name: value
            for name, value in self._fields.items()
            if name != 'usage' or value
        }
        is_chat = result.get('object') == CHAT_CHUNK
        if is_chat:
            result['object'] = CHAT_COMPLETION
        result['choices'] = [
            _as_complete_choice(choice, is_chat)
            for _, choice in sorted(self._choices_by_index.items())
        ]
        return result


def _as_complete_choice(
    choice: dict[str, typing.Any], is_chat: bool
) -> dict[str, typing.Any]:
    if not is_chat:
        return choice
    rest = {n: v for n, v in choice.items() if n != 'delta'}
    message = {'role': 'assistant', 'content': None} | choice['delta']
    return rest | {'message': message}


def _merge(
    merged: dict[str, typing.Any], delta: dict[str, typing.Any]
) -> None:
    for name, value in delta.items():
        present = merged.get(name)
        if present is None or value is None or name in ('index', 'role', 'id'):
            merged[name] = present if value is None else value
        elif isinstance(value, dict) and isinstance(present, dict):
            _merge(present, value)
        elif isinstance(value, list) and isinstance(present, list):
            _merge_list(present, value)
        elif isinstance(value, str) and isinstance(present, str):
            merged[name] = present + value
        else:
            merged[name] = value


def _merge_list(merged: list[typing.Any], delta: list[typing.Any]) -> None:
    for item in delta:
        index = item.get('index') if isinstance(item, dict) else None
        same = [k for k in merged if index is not None and k['index'] == index]
        if same:
            _merge(same[0], item)
        else:
            merged.append(item)
