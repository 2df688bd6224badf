"""Runs the command in the process of the features."""

import contextlib
import io
import sys
import typing
from unittest import mock

from kingcupfront_cli import main


class Result(typing.NamedTuple):
    """How a command ended."""

    code: int
    stdout: str
    stderr: str

    @property
    def output(self):
        return self.stdout + self.stderr


def run(*arguments):
    stdout = io.TextIOWrapper(io.BytesIO(), 'utf-8', write_through=True)
    stderr = io.StringIO()
    code = 0
    with (
        mock.patch.object(sys, 'argv', ['kingcupfront', *map(str, arguments)]),
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        try:
            main.run()
        except SystemExit as end:
            code = end.code or 0
    text = stdout.buffer.getvalue().decode()
    return Result(code, text, stderr.getvalue())
