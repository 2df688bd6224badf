"""Structured logging with one line for each event."""

import json
import logging
import re
import sys
import typing

from pythonjsonlogger import core
from pythonjsonlogger import json as json_log

from kingcupfront_core import log_output
from kingcupfront_core import redaction
from kingcupfront_core import registry

RECORD_FIELDS = ('levelname', 'name', 'message')
OUTPUT_NAMES = {'levelname': 'level', 'name': 'logger', 'message': 'event'}
UNSAFE_NAME_CHARACTERS = re.compile(r'[^\w.-]', re.ASCII)

formats: registry.Registry[type[logging.Formatter]] = registry.Registry(
    'log format'
)


def _quote(value: typing.Any) -> str:
    text = value if isinstance(value, str) else str(value)
    if not text.isprintable():
        return json.dumps(text)
    if text and not any(c in text for c in ' "=\\'):
        return text
    return json.dumps(text, ensure_ascii=False)


def _sanitize_name(name: str) -> str:
    return UNSAFE_NAME_CHARACTERS.sub('_', name)


@formats.register('keyvalue')
class KeyValueFormatter(core.BaseJsonFormatter):
    """Formats each event as one line of key=value pairs."""

    def __init__(self) -> None:
        super().__init__(
            list(RECORD_FIELDS),
            style=',',
            rename_fields=OUTPUT_NAMES,
            timestamp='time',
        )

    def process_log_record(
        self, log_data: core.LogData
    ) -> dict[str, typing.Any]:
        """Redact secrets in the fields of an event."""
        return redaction.redact(log_data)

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Return the fields of an event as one line, the time first."""
        pairs = sorted(log_data.items(), key=lambda pair: pair[0] != 'time')
        return ' '.join(
            f'{_sanitize_name(name)}={_quote(value)}' for name, value in pairs
        )


@formats.register('json')
class JsonFormatter(json_log.JsonFormatter):
    """Formats each event as one JSON object on a line."""

    def __init__(self) -> None:
        super().__init__(
            list(RECORD_FIELDS),
            style=',',
            rename_fields=OUTPUT_NAMES,
            timestamp='time',
            json_default=str,
        )

    def process_log_record(
        self, log_data: core.LogData
    ) -> dict[str, typing.Any]:
        """Redact secrets in the fields of an event."""
        return redaction.redact(log_data)


def set_up(format_name: str = 'keyvalue', level: str = 'INFO') -> None:
    """Send the logs of the process to standard error.

    :param format_name: a name in :data:`formats`.
    :param level: the lowest level that is logged.
    :raises UnknownNameError: if there is no such format.
    """
    _install(logging.StreamHandler(sys.stderr), format_name, level)


def set_up_bounded(
    format_name: str = 'keyvalue', level: str = 'INFO'
) -> log_output.RateLimitedHandler:
    """Send the logs of the process to standard output without blocking.

    :param format_name: a name in :data:`formats`.
    :param level: the lowest level that is logged.
    :returns: the handler, which counts the lines that it drops.
    :raises UnknownNameError: if there is no such format.
    """
    output = log_output.RateLimitedHandler()
    _install(output, format_name, level)
    return output


def _install(handler: logging.Handler, format_name: str, level: str) -> None:
    handler.setFormatter(formats.get(format_name)())
    logging.basicConfig(handlers=[handler], level=level, force=True)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
