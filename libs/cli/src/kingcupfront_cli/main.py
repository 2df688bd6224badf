"""The ``kingcupfront`` command."""

import pathlib
import sys
import typing

import typer

from kingcupfront_cli import _bootstrap  # noqa: F401 - must come first
from kingcupfront_cli import standins
from kingcupfront_config import settings
from kingcupfront_core import errors
from kingcupfront_core import logs
from kingcupfront_entry import process

BAD_INPUT_EXIT_CODE = 2

app = typer.Typer(
    help='Serve generations of unknown length on crowded engines.',
    no_args_is_help=True,
)
app.add_typer(standins.app, name='standin')

SettingsPath = typing.Annotated[
    pathlib.Path, typer.Argument(help='Settings, JSON with comments.')
]


@app.command()
def entry(path: SettingsPath) -> None:
    """Run an entry process until it is told to stop."""
    options = settings.load(path)
    logs.set_up(options.logging.format, options.logging.level)
    process.run(options)


def run() -> None:
    """Run the command and end with its exit code."""
    try:
        app()
    except errors.BadInputError as error:
        print(f'kingcupfront: {error}', file=sys.stderr)
        sys.exit(BAD_INPUT_EXIT_CODE)
