"""Runs a gateway, or shows the settings that it would run with."""

import dataclasses
import json
import typing

import typer

from kingcupfront_cli import platforms
from kingcupfront_core import logs
from kingcupfront_gateway import process

app = typer.Typer()


@app.command()
def gateway(
    platform: typing.Annotated[
        str, typer.Option(help='The platform to run on.')
    ] = 'platform',
    check: typing.Annotated[
        bool, typer.Option('--check', help='Show the settings and end.')
    ] = False,
    log_format: typing.Annotated[
        str, typer.Option(help='keyvalue or json.')
    ] = 'keyvalue',
) -> None:
    """Run a gateway with the settings that the platform gives."""
    dialect = platforms.open_adapter(platform)
    if check:
        shown = dataclasses.asdict(dialect.settings())
        print(json.dumps(shown, indent=2, default=str))
        return
    logs.set_up_bounded(log_format)
    process.run(dialect)
