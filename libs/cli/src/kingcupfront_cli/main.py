"""The ``kingcupfront`` command."""

import importlib
from importlib import metadata
from importlib import util
import sys
import typing

import typer

from kingcupfront_cli import _bootstrap  # noqa: F401 - must come first
from kingcupfront_cli import exit_codes
from kingcupfront_core import errors

PACKAGE = 'kingcupfront'

# A command's module is imported when the command is asked for, so that an
# entry starts without what the other commands need.
MODULES_BY_COMMAND = {
    'entry': 'kingcupfront_cli.entry',
    'gateway': 'kingcupfront_cli.gateway',
    'settings': 'kingcupfront_cli.entry',
    'check': 'kingcupfront_cli.object_sets',
    'diff': 'kingcupfront_cli.object_sets',
    'compose': 'kingcupfront_cli.object_sets',
    'schema': 'kingcupfront_cli.object_sets',
    'key': 'kingcupfront_cli.keys',
    'status': 'kingcupfront_cli.operators',
    'dump': 'kingcupfront_cli.operators',
    'ask': 'kingcupfront_cli.ask',
    'demo': 'kingcupfront_cli.demo',
    'standin': 'kingcupfront_cli.standins',
    'bench': 'kingcupfront_bench.commands',
}


class Commands(typer.core.TyperGroup):
    """The commands, each imported when it is asked for."""

    def list_commands(self, ctx: typer.Context) -> list[str]:
        """Return the names of the commands that are installed."""
        return [
            command
            for command, name in MODULES_BY_COMMAND.items()
            if util.find_spec(name.partition('.')[0]) is not None
        ]

    def get_command(self, ctx: typer.Context, cmd_name: str) -> typing.Any:
        """Return a command, or None if there is none of that name."""
        if cmd_name not in self.list_commands(ctx):
            return None
        module = importlib.import_module(MODULES_BY_COMMAND[cmd_name])
        group = typer.main.get_group(module.app)
        if cmd_name in group.commands:
            return group.commands[cmd_name]
        group.name = cmd_name
        return group


app = typer.Typer(
    cls=Commands,
    help='Serve generations of unknown length on crowded engines.',
    epilog='Exit codes: 0 all is well, 1 errors were found, 2 bad usage or '
    'input that cannot be read.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


def _show_version(wanted: bool) -> None:
    if wanted:
        print(f'{PACKAGE} {metadata.version(PACKAGE)}')
        raise typer.Exit()


@app.callback()
def _options(
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_show_version,
            is_eager=True,
            help='Show the version and end.',
        ),
    ] = False,
) -> None:
    pass


def run() -> None:
    """Run the command and end with its exit code."""
    try:
        app(prog_name=PACKAGE)
    except errors.BadInputError as error:
        print(f'{PACKAGE}: {error}', file=sys.stderr)
        sys.exit(exit_codes.BAD_USAGE)
    except errors.KingcupfrontError as error:
        print(f'{PACKAGE}: {error}', file=sys.stderr)
        sys.exit(exit_codes.ERRORS_FOUND)
