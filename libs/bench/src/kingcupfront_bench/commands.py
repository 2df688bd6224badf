"""Commands that run experiments."""

import pathlib
import typing

import typer

from kingcupfront_bench import decisions
from kingcupfront_bench import deployment
from kingcupfront_bench import limits_experiment
from kingcupfront_bench import membership
from kingcupfront_bench import policies_experiment
from kingcupfront_bench import scenario
from kingcupfront_bench import speed
from kingcupfront_route import headroom_policy

app = typer.Typer(help='Run experiments.', no_args_is_help=True)
app.add_typer(membership.app, name='peers')
app.command('speed')(speed.speed)

ALL_POLICIES = ','.join(
    (*policies_experiment.BASELINES, *headroom_policy.VERSIONS)
)


def _numbers(text: str) -> list[int]:
    """Return the numbers of a text such as ``1,2`` or ``101-105``."""
    found: list[int] = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        found.extend(range(int(first), int(last or first) + 1))
    return found


@app.command()
def policies(
    name: typing.Annotated[
        str, typer.Option('--deployment', help='los-santos or sohar.')
    ] = 'los-santos',
    load: typing.Annotated[
        float, typer.Option(help='Offered load, as a fraction of capacity.')
    ] = 0.9,
    seeds: typing.Annotated[
        str, typer.Option(help='Seeds, such as 1,2 or 101-105.')
    ] = '1-5',
    policy: typing.Annotated[
        str, typer.Option('--policies', help='Names of policies.')
    ] = ALL_POLICIES,
    report_lag: typing.Annotated[
        float, typer.Option(help='How late load reports are, in seconds.')
    ] = 0.5,
    faults: typing.Annotated[
        bool, typer.Option(help='Flood, reclaim an engine, slow a region.')
    ] = True,
    reports: typing.Annotated[
        str,
        typer.Option(
            help='Fault of one engine\'s reports: frozen, absent or absurd.'
        ),
    ] = '',
    goal: typing.Annotated[
        str, typer.Option(help='stalls or gaps; the deployment\'s if empty.')
    ] = '',
    out: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Folder for the table, CSV and plot.'),
    ] = None,
) -> None:
    """Compare routing policies on the same seeded workloads."""
    base = (
        policies_experiment.ALL_FAULTS
        if faults
        else policies_experiment.NO_FAULTS
    )
    found = policies_experiment.run(
        deployment.BY_NAME[name],
        load=load,
        policies=policy.split(','),
        seeds=_numbers(seeds),
        report_lag=report_lag,
        faults=scenario.with_report_fault(base, reports),
        goal=goal,
        progress=lambda line: typer.echo(line, err=True),
    )
    typer.echo(found.table())
    if out is not None:
        found.write(out, f'policies-{name}-{load:g}')


@app.command('decisions')
def decisions_command(
    policy: typing.Annotated[
        str, typer.Option(help='The policy to measure.')
    ] = headroom_policy.LATEST,
) -> None:
    """Measure processor time and memory of routing decisions."""
    typer.echo(decisions.run(policy))


@app.command('limits')
def limits_command(
    seeds: typing.Annotated[
        str, typer.Option(help='Seeds, such as 1,2 or 101-105.')
    ] = '1-5',
) -> None:
    """Measure how far a team can exceed its limit across entries."""
    typer.echo(limits_experiment.run(_numbers(seeds)))
