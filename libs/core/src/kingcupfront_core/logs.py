"""Logs with one line of key=value pairs for each event."""

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

FIELDS = ('levelname', 'name', 'message')
RENAMED = {'levelname': 'level', 'name': 'logger', 'message': 'event'}
UNSAFE_IN_NAMES = re.compile(r'[^\w.-]', re.ASCII)

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


def _name(name: str) -> str:
    return UNSAFE_IN_NAMES.sub('_', name)


@formats.register('keyvalue')
class KeyValueFormatter(core.BaseJsonFormatter):
    """Formats each event as one line of key=value pairs."""

    def __init__(self) -> None:
        super().__init__(
            list(FIELDS), style=',', rename_fields=RENAMED, timestamp='time'
        )

    def process_log_record(
        self, log_data: core.LogData
    ) -> dict[str, typing.Any]:
        """Remove secrets from the fields of an event."""
        return redaction.redact(log_data)

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Return the line of an event."""
        pairs = sorted(log_data.items(), key=lambda pair: pair[0] != 'time')
        return ' '.join(f'{_name(n)}={_quote(value)}' for n, value in pairs)


@formats.register('json')
class JsonFormatter(json_log.JsonFormatter):
    """Formats each event as one JSON object on a line."""

    def __init__(self) -> None:
        super().__init__(
            list(FIELDS),
            style=',',
            rename_fields=RENAMED,
            timestamp='time',
            json_default=str,
        )

    def process_log_record(
        self, log_data: core.LogData
    ) -> dict[str, typing.Any]:
        """Remove secrets from the fields of an event."""
        return redaction.redact(log_data)


def set_up(format_name: str = 'keyvalue', level: str = 'INFO') -> None:
    """Send the process's logs to standard error.

    :param format_name: a name in :data:`formats`.
    :param level: the lowest level to write.
    :raises UnknownNameError: if there is no such format.
    """
    _install(logging.StreamHandler(sys.stderr), format_name, level)


def set_up_bounded(
    format_name: str = 'keyvalue', level: str = 'INFO'
) -> log_output.BoundedOutput:
    """Send the process's logs to standard output, never blocking.

    :param format_name: a name in :data:`formats`.
    :param level: the lowest level to write.
    :returns: the output, which counts the lines that it dropped.
    :raises UnknownNameError: if there is no such format.
    """
    output = log_output.BoundedOutput()
    _install(output, format_name, level)
    return output


def _install(handler: logging.Handler, format_name: str, level: str) -> None:
    handler.setFormatter(formats.get(format_name)())
    logging.basicConfig(handlers=[handler], level=level, force=True)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
