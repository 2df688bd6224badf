"""The commands that check, compare and write sets of objects."""

import json
import pathlib
import sys
import typing

import typer

from kingcupfront_cli import configurations
from kingcupfront_cli import errors
from kingcupfront_cli import exit_codes
from kingcupfront_cli import published_set
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
AsJson = typing.Annotated[
    bool, typer.Option('--json', help='The same as --format json.')
]
Platform = typing.Annotated[
    str | None,
    typer.Option(
        help='Take the file for a configuration of gateways in the format of '
        'this platform.'
    ),
]
Store = typing.Annotated[
    str | None,
    typer.Option(
        metavar='ADDRESS',
        help='Where to read what is in force: the configuration service of '
        "entries or, with --platform, the platform's store, which also names "
        'the targets.',
    ),
]
SettingsPath = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        '--settings',
        exists=True,
        dir_okay=False,
        help='With --platform: settings of a gateway, for the regions.',
    ),
]
InForce = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        exists=True,
        help='What is in force: a file of --platform, or a file or folder of '
        'objects. Differences from it are printed too.',
    ),
]


@app.command()
def check(
    paths: Paths,
    output: Format = 'text',
    as_json: AsJson = False,
    platform: Platform = None,
    settings: SettingsPath = None,
    store: Store = None,
    in_force: InForce = None,
) -> None:
    """Check a whole set of objects and print every error.

    With --platform, a configuration of gateways is checked in place of a set.

    Exit codes: 0 it may be published, 1 errors were found, 2 bad usage, or
    the check could not be run.
    """
    is_json = as_json or output == 'json'
    if platform is not None:
        sources = configurations.Sources(settings, store, in_force)
        _check_configuration(platform, paths, sources, is_json)
        return
    _refuse_settings(settings)
    changes = None
    result = _check(paths)
    if (in_force or store) and not result.problems:
        changes = diffs.diff(_in_force(in_force, store), result.objects)
    _print_check(result, changes, is_json)
    if result.problems:
        raise typer.Exit(exit_codes.ERRORS_FOUND)


@app.command()
def diff(
    paths: Paths,
    output: Format = 'text',
    as_json: AsJson = False,
    platform: Platform = None,
    settings: SettingsPath = None,
    store: Store = None,
) -> None:
    """Show what changes between two sets and what to expect of it.

    Give the path of what is in force, then that of the edited version. With
    --store, give only the edited version.

    Exit codes: 0 both are sound, 1 errors were found, 2 bad usage, or they
    could not be compared.
    """
    is_json = as_json or output == 'json'
    wanted = 1 if store is not None else 2
    if len(paths) != wanted:
        raise typer.BadParameter(f'give {wanted} paths, not {len(paths)}')
    if platform is not None:
        before = paths[0] if store is None else None
        sources = configurations.Sources(settings, store, before)
        _check_configuration(platform, paths[-1:], sources, is_json, True)
        return
    _refuse_settings(settings)
    before = _in_force(None, store) if store else _sound(paths[:1])
    changes = diffs.diff(before, _sound(paths[-1:]))
    if is_json:
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


def _in_force(
    path: pathlib.Path | None, store: str | None
) -> tuple[typing.Any, ...]:
    """Return the objects in force; a file goes before the store."""
    if path is None:
        return published_set.read(store, PUBLISHED_KEY)
    result = _check([path])
    if result.problems:
        raise errors.CannotCheckError(
            f'the set in force is invalid: {result.problems[0]}'
        )
    return result.objects


def _refuse_settings(settings: pathlib.Path | None) -> None:
    if settings is not None:
        raise typer.BadParameter('--settings needs --platform')


def _check_configuration(
    platform: str,
    paths: list[pathlib.Path],
    sources: configurations.Sources,
    is_json: bool,
    must_compare: bool = False,
) -> None:
    if len(paths) != 1 or paths[0].is_dir():
        raise typer.BadParameter('with --platform, give one file')
    report = configurations.check(platform, paths[0], sources)
    if must_compare and report.changes is None and not report.findings:
        raise errors.CannotCheckError('no configuration is in force')
    print(report.as_json() if is_json else report)
    if report.findings:
        raise typer.Exit(exit_codes.ERRORS_FOUND)


def _print_check(
    result: checks.Check, changes: list[diffs.Change] | None, is_json: bool
) -> None:
    if is_json:
        rows = [item._asdict() for item in result.problems]
        value = {'objects': len(result.objects), 'errors': rows}
        if changes is not None:
            value['changes'] = [item._asdict() for item in changes]
        print(json.dumps(value))
        return
    for item in (*result.problems, *(changes or ())):
        print(item)
    summary = f'{len(result.objects)} objects, {len(result.problems)} errors'
    if changes is not None:
        summary += f', {len(changes)} changes'
    print(summary)


def _check(paths: list[pathlib.Path]) -> checks.Check:
    return checks.check(paths, policy.policies)


def _sound(paths: list[pathlib.Path]) -> tuple[typing.Any, ...]:
    result = _check(paths)
    if not result.problems:
        return result.objects
    for item in result.problems:
        print(item, file=sys.stderr)
    raise typer.Exit(exit_codes.ERRORS_FOUND)
