"""The commands that check, compare and write sets of objects."""

import json
import pathlib
import sys
import typing

import typer

from kingcupfront_cli import exit_codes
from kingcupfront_config import check as checks
from kingcupfront_config import diff as diffs
from kingcupfront_config import manifest
from kingcupfront_config import publication
from kingcupfront_config import schema as schemas
from kingcupfront_route import policy
from kingcupfront_route import router  # noqa: F401 - fills the registry

app = typer.Typer()

PUBLISHED_KEY = 'kingcupfront/objects'
WHOLE_NAME = 'whole.json'

Paths = typing.Annotated[
    list[pathlib.Path],
    typer.Argument(
        exists=True, help='Files of objects, or folders of such files.'
    ),
]
OnePath = typing.Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True, help='A file of objects, or a folder of such files.'
    ),
]
Format = typing.Annotated[
    typing.Literal['text', 'json'],
    typer.Option('--format', help='How to print what was found.'),
]


@app.command()
def check(paths: Paths, output: Format = 'text') -> None:
    """Check a whole set of objects and print every error.

    Exit codes: 0 the set may be published, 1 errors were found, 2 bad
    usage.
    """
    result = _check(paths)
    if output == 'json':
        rows = [item._asdict() for item in result.problems]
        print(json.dumps({'objects': len(result.objects), 'errors': rows}))
    else:
        for item in result.problems:
            print(item)
        print(f'{len(result.objects)} objects, {len(result.problems)} errors')
    if result.problems:
        raise typer.Exit(exit_codes.ERRORS_FOUND)


@app.command()
def diff(before: OnePath, after: OnePath, output: Format = 'text') -> None:
    """Show what changes between two sets and what to expect of it.

    Exit codes: 0 both sets are sound, 1 one of them has errors, 2 bad
    usage.
    """
    changes = diffs.diff(_sound([before]), _sound([after]))
    if output == 'json':
        print(json.dumps([item._asdict() for item in changes]))
        return
    for item in changes:
        print(item)
    print(f'{len(changes)} changes')


@app.command()
def compose(
    path: OnePath,
    revision: typing.Annotated[
        int, typer.Option(min=1, help='The revision that the set gets.')
    ],
    base: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Option(
            exists=True,
            dir_okay=False,
            help='The published value that was edited; give two to make a '
            'set that follows from both of two rivals.',
        ),
    ] = None,
    based_on: typing.Annotated[
        int | None,
        typer.Option(
            min=0,
            help='In place of --base, the revision that was edited; 0 for '
            'the first set.',
        ),
    ] = None,
    parts: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Folder for the parts of a set over a megabyte.'),
    ] = None,
    key: typing.Annotated[
        str, typer.Option(help='The key that the set is published under.')
    ] = PUBLISHED_KEY,
) -> None:
    """Write the one JSON value to be published, from a sound set.

    Your own tool puts the value into the configuration service; nothing
    of this system writes there. A set over a megabyte needs --parts: one
    file for each value, numbered in the order in which to publish them,
    and whole.json, which is kept to be the --base of the next set.
    """
    if bool(base) == (based_on is not None):
        raise typer.BadParameter('give either --base or --based-on')
    value = publication.compose(
        _sound([path]),
        revision=revision,
        based_on=based_on or 0,
        bases=[item.read_bytes() for item in base or ()],
    )
    if json.loads(value)['based_on'] >= revision:
        raise typer.BadParameter('the revision must be above the base')
    values = manifest.split(key, value)
    if parts is not None:
        _write_parts(parts, values)
        (parts / WHOLE_NAME).write_bytes(value)
    elif len(values) == 1:
        sys.stdout.buffer.write(value)
    else:
        raise typer.BadParameter(
            f'{len(value)} bytes are too many for one value: use --parts'
        )


@app.command()
def schema(
    name: typing.Annotated[
        typing.Literal['objects', 'set', 'settings'],
        typer.Argument(help='Which schema to print.'),
    ] = 'objects',
) -> None:
    """Print the JSON Schema of object files, published sets or settings."""
    print(json.dumps(schemas.schemas_by_name()[name], indent=2))


def _write_parts(folder: pathlib.Path, values: dict[str, bytes]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for number, (key, value) in enumerate(values.items(), 1):
        path = folder / f'{number:02}.json'
        path.write_bytes(value)
        print(f'{path} {key}')


def _check(paths: list[pathlib.Path]) -> checks.Check:
    return checks.check(paths, policy.policies)


def _sound(paths: list[pathlib.Path]) -> tuple[typing.Any, ...]:
    result = _check(paths)
    if not result.problems:
        return result.objects
    for item in result.problems:
        print(item, file=sys.stderr)
    raise typer.Exit(exit_codes.ERRORS_FOUND)
