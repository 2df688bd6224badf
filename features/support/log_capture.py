"""Captures the log records of the gateway."""

import contextlib
import logging


class _Handler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextlib.contextmanager
def capturing(name='kingcupfront_gateway'):
    """Yield a list to which the records of a logger are added."""
    logger = logging.getLogger(name)
    handler, level = _Handler(), logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield handler.records
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)


def events(records, name):
    """Return the records of one kind of log line."""
    return [record for record in records if record.getMessage() == name]
