"""The commands that run an entry and check its settings."""

import pathlib
import typing

import typer

from kingcupfront_config import settings
from kingcupfront_core import logs
from kingcupfront_entry import process

app = typer.Typer()

SettingsPath = typing.Annotated[
    pathlib.Path, typer.Argument(help='Settings, JSON with comments.')
]


@app.command()
def entry(path: SettingsPath) -> None:
    """Run an entry process until it is told to stop.

    SIGTERM begins a graceful shutdown: requests in progress end first.
    """
    options = settings.load(path)
    logs.set_up(options.logging.format, options.logging.level)
    process.run(options)


@app.command('settings')
def show_settings(path: SettingsPath) -> None:
    """Check a settings file and print what is in effect.

    Secrets are hidden. The files of TLS listeners are opened, too.
    """
    options = settings.load(path)
    logs.formats.get(options.logging.format)
    print(options.model_dump_json(indent=2))
