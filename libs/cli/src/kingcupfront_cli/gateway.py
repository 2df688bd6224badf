"""Runs a gateway, or shows the settings that it would run with."""

import dataclasses
import importlib
import json
import typing

import typer

from kingcupfront_core import logs
from kingcupfront_gateway import adapter
from kingcupfront_gateway import process

# The module of each platform; importing it fills the registry.
MODULES_BY_PLATFORM = {'platform': 'kingcupfront_platform.dialect'}

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
    if platform in MODULES_BY_PLATFORM:
        importlib.import_module(MODULES_BY_PLATFORM[platform])
    dialect = adapter.adapters.get(platform)()
    if check:
        shown = dataclasses.asdict(dialect.settings())
        print(json.dumps(shown, indent=2, default=str))
        return
    logs.set_up_bounded(log_format)
    process.run(dialect)
