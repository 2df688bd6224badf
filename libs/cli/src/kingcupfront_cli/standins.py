"""Commands that run the stand-ins, for trials and tests."""

import signal
import typing

import bottle
import gevent
from gevent import event
import typer

from kingcupfront_core import address
from kingcupfront_standin import engine
from kingcupfront_standin import listener
from kingcupfront_standin import plain
from kingcupfront_standin import platform

app = typer.Typer(help='Run a stand-in for an outside system.')

Listen = typing.Annotated[
    str, typer.Option(help='IP number and port; port 0 picks a free one.')
]


def _serve(application: bottle.Bottle, where: str) -> None:
    stopping = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    with listener.serving(application, address.Address.parse(where)) as bound:
        print(f'listening={bound}', flush=True)
        stopping.wait()


@app.command('engine')
def run_engine(
    listen: Listen = '127.0.0.1:0', model: str = 'assistant'
) -> None:
    """Run a stand-in for a model engine."""
    _serve(engine.Engine(model).app, listen)


@app.command('plain')
def run_plain(listen: Listen = '127.0.0.1:0') -> None:
    """Run a stand-in for a plain service."""
    _serve(plain.PlainService().app, listen)


@app.command('platform')
def run_platform(listen: Listen = '127.0.0.1:0') -> None:
    """Run a stand-in for the configuration service and instance list."""
    _serve(platform.Platform().app, listen)
