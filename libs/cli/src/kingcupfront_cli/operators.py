"""The commands that read the administration API of entries."""

import json
import typing

import tabulate
import typer
import urllib3

from kingcupfront_cli import exit_codes
from kingcupfront_core import address
from kingcupfront_core import errors
from kingcupfront_core import strict_replies

TIMEOUT_SECONDS = 5.0
COLUMNS = (
    'instance',
    'place',
    'ready',
    'revision',
    'refusals',
    'requests',
    'targets',
    'targets_leaving',
    'peers',
)

app = typer.Typer()

Authority = typing.Annotated[
    str | None,
    typer.Option(
        help='Path of the authority of the listeners, in PEM; turns on TLS.'
    ),
]


class UnreachableError(errors.KingcupfrontError):
    """A process whose administration API gives no answer."""

    code = 'unreachable'


@app.command()
def status(
    addresses: typing.Annotated[
        list[str],
        typer.Argument(help='IP numbers and ports of administration APIs.'),
    ],
    authority: Authority = None,
) -> None:
    """Show a table of entries: readiness, revision, requests, targets.

    Exit codes: 0 all are ready and refuse nothing, 1 one is not, 2 bad
    usage.
    """
    rows, sound = [], True
    for item in addresses:
        try:
            found = _get(item, '/admin/v1/status', authority)
        except UnreachableError as error:
            rows.append([item, str(error)])
            sound = False
            continue
        rows.append([item, *(found.get(name) for name in COLUMNS)])
        sound = sound and found['ready'] and not found['refusals']
    print(tabulate.tabulate(rows, headers=['address', *COLUMNS]))
    if not sound:
        raise typer.Exit(exit_codes.ERRORS_FOUND)


@app.command()
def dump(
    where: typing.Annotated[
        str,
        typer.Argument(
            metavar='ADDRESS',
            help='IP number and port of an administration API.',
        ),
    ],
    authority: Authority = None,
) -> None:
    """Print the whole state of an entry as JSON; secrets are hidden."""
    print(json.dumps(_get(where, '/dump', authority), indent=2))


def _get(where: str, path: str, authority: str | None) -> typing.Any:
    scheme = 'https' if authority else 'http'
    pool = strict_replies.PoolManager(
        retries=False, timeout=TIMEOUT_SECONDS, ca_certs=authority
    )
    url = f'{scheme}://{address.Address.parse(where)}{path}'
    try:
        response = pool.request('GET', url)
        if response.status != 200:
            raise UnreachableError(f'{where}: status {response.status}')
        return json.loads(response.data)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise UnreachableError(f'{where}: {error}') from error
