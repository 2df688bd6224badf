"""The command of a caller: streams an answer and resumes it."""

import sys
import typing

import typer

from kingcupfront_cli import caller

app = typer.Typer()


@app.command()
def ask(
    prompt: typing.Annotated[
        str, typer.Argument(help='The question; "-" reads standard input.')
    ],
    model: typing.Annotated[
        str, typer.Option(help='The name of a model service.')
    ],
    entry: typing.Annotated[
        list[str],
        typer.Option(
            help='Base URL of an entry, such as http://10.0.0.1:7000; give '
            'several to go on at another one after a cut.'
        ),
    ],
    key: typing.Annotated[
        str,
        typer.Option(
            envvar='KINGCUPFRONT_KEY',
            show_envvar=True,
            help="The team's API key; better set in the environment.",
        ),
    ],
    max_tokens: typing.Annotated[
        int | None, typer.Option(min=1, help='Bound on the output, in tokens.')
    ] = None,
    authority: typing.Annotated[
        str | None,
        typer.Option(help='Path of the authority of the entries, in PEM.'),
    ] = None,
) -> None:
    """Ask a model service and print the answer as it arrives.

    A cut connection is taken up again, through another entry if there is
    one. Exit codes: 0 the answer is whole, 1 it is not, 2 bad usage.
    """
    text = sys.stdin.read() if prompt == '-' else prompt
    body: dict[str, typing.Any] = {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
    }
    if max_tokens is not None:
        body['max_tokens'] = max_tokens
    client = caller.Caller(
        [base.rstrip('/') for base in entry], key, authority=authority
    )
    for piece in client.stream(body):
        print(piece, end='', flush=True)
    print()
    arrivals = client.arrivals
    print(
        f'first token {arrivals.first:.3f} s, longest gap '
        f'{arrivals.gap_quantile(1):.3f} s, '
        f'{arrivals.connections} connections',
        file=sys.stderr,
    )
