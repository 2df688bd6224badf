"""Measurements of membership and of the configuration in force."""

from collections.abc import Iterator
import contextlib
import json
import logging
import pathlib
import platform
import time
import typing

import gevent
import tabulate
import typer

from kingcupfront_bench import entry_processes
from kingcupfront_bench import leaving_signs
from kingcupfront_bench import nodes as bench_nodes
from kingcupfront_bench import spread_nodes
from kingcupfront_peer import member as members

MemberCounts = typing.Annotated[list[int], typer.Option(help='Fleet sizes.')]
Seconds = typing.Annotated[float, typer.Option(help='Seconds of each run.')]
Output = typing.Annotated[
    pathlib.Path | None, typer.Option(help='Where to write rows as JSON.')
]

SETTLE_SECONDS = 5.0
PLACES = 3
PLANNED_MEMBERS = 1200
PERCENT = 100
SAMPLE_SECONDS = 0.02
PUBLISH_LIMIT_SECONDS = 60.0


@contextlib.contextmanager
def _fleet(
    count: int, service: bench_nodes.Service, places: int = PLACES
) -> Iterator[list[bench_nodes.Node]]:
    with contextlib.ExitStack() as stack:
        fleet = [
            stack.enter_context(
                bench_nodes.Node(f'n{n}', f'p{n % places}', service).running()
            )
            for n in range(count)
        ]
        bench_nodes.list_all(fleet)
        try:
            yield fleet
        finally:
            for node in fleet:
                node.blocked |= {other.address for other in fleet}


def measure_traffic(count: int, seconds: float) -> dict[str, float]:
    """Return what membership costs each of some members.

    :param count: the size of the fleet.
    :param seconds: how long to measure, in seconds.
    """
    service = bench_nodes.Service()
    service.publish(bench_nodes.publication(1))
    with _fleet(count, service) as fleet:
        gevent.sleep(SETTLE_SECONDS)
        before = [_traffic(node) for node in fleet]
        cpu, start = time.process_time(), time.monotonic()
        gevent.sleep(seconds)
        elapsed = time.monotonic() - start
        cpu = time.process_time() - cpu
        after = [_traffic(node) for node in fleet]
        dead = _dead(fleet)
    moved = [
        [b - a for a, b in zip(x, y, strict=True)]
        for x, y in zip(before, after, strict=True)
    ]
    return {
        'members': count,
        'sent_bytes_per_s': sum(m[0] for m in moved) / count / elapsed,
        'all_bytes_per_s': sum(m[1] for m in moved) / count / elapsed,
        'most_bytes_per_s': max(m[1] for m in moved) / elapsed,
        'datagrams_per_s': sum(m[2] for m in moved) / count / elapsed,
        'cpu_percent': PERCENT * cpu / count / elapsed,
        'process_busy_percent': PERCENT * cpu / elapsed,
        'view': sum(len(n.beats.membership.members_by_id) for n in fleet)
        / count,
        'false_dead': dead,
    }


def measure_in_force(
    count: int, publications: int, objects: int
) -> dict[str, float]:
    """Return how long sets take to be in force on all nodes of a fleet.

    :param count: the size of the fleet.
    :param publications: how many sets are published, one after another.
    :param objects: the number of objects in each set.
    """
    service = bench_nodes.Service()
    data = bench_nodes.publication(1, objects=objects)
    service.publish(data)
    times, lasts = [], []
    with _fleet(count, service) as fleet:
        _await(fleet, 1)
        gevent.sleep(SETTLE_SECONDS)
        calls, start = service.calls, time.monotonic()
        taken = _taken(fleet)
        for revision in range(2, 2 + publications):
            data = bench_nodes.publication(revision, data, objects=objects)
            at = time.monotonic()
            service.publish(data)
            _await(fleet, revision)
            seen = [node.log[-1][0] - at for node in fleet]
            times += seen
            lasts.append(max(seen))
            gevent.sleep(1.0)
        elapsed = time.monotonic() - start
        calls = service.calls - calls
        taken = _taken(fleet) - taken
        dead = _dead(fleet)
        watchers = sum(node.spread.is_watcher for node in fleet)
    times.sort()
    return {
        'nodes': count,
        'publications': publications,
        'set_bytes': len(data),
        'p50_s': times[len(times) // 2],
        'p99_s': times[int(len(times) * 0.99)],
        'last_node_worst_s': max(lasts),
        'watchers': watchers,
        'false_dead': dead,
        'calls_per_publication': calls / publications,
        'calls_per_s': calls / elapsed,
        'taken_bytes_per_node': taken / count / publications,
    }


def _traffic(node: bench_nodes.Node) -> tuple[int, int, int]:
    traffic = node.beats.datagrams.traffic
    total = traffic.sent_bytes + traffic.received_bytes
    return traffic.sent_bytes, total, traffic.sent


def _dead(fleet: list[bench_nodes.Node]) -> int:
    return sum(
        item.state is members.State.DEAD
        for node in fleet
        for item in node.beats.membership.members_by_id.values()
    )


def _taken(fleet: list[bench_nodes.Node]) -> int:
    return sum(node.spread.transfers.bytes_received for node in fleet)


def _await(fleet: list[bench_nodes.Node], revision: int) -> None:
    end = time.monotonic() + PUBLISH_LIMIT_SECONDS
    while any(node.held.revision < revision for node in fleet):
        if time.monotonic() > end:
            held = sorted({node.held.revision for node in fleet})
            raise TimeoutError(f'revision {revision} not everywhere: {held}')
        gevent.sleep(SAMPLE_SECONDS)


def membership(
    members: MemberCounts = [10, 30, 100, 300],  # noqa: B006 - typer copies it
    seconds: Seconds = 20.0,
    output: Output = None,
) -> None:
    """Measure traffic and processor time of membership for each entry."""
    logging.disable(logging.WARNING)
    rows = [_told(measure_traffic(count, seconds)) for count in members]
    _show(rows, output)
    if len(rows) > 1:
        for field in ('all_bytes_per_s', 'cpu_percent'):
            first, last = rows[0], rows[-1]
            slope = (last[field] - first[field]) / (
                last['members'] - first['members']
            )
            planned = last[field] + slope * (PLANNED_MEMBERS - last['members'])
            typer.echo(
                f'{field}: slope {slope:.5f} a member, '
                f'{planned:.2f} at {PLANNED_MEMBERS}'
            )


def configuration(
    members: MemberCounts = [9, 100, 300],  # noqa: B006 - typer copies it
    publications: typing.Annotated[int, typer.Option()] = 10,
    objects: typing.Annotated[int, typer.Option()] = 100,
    output: Output = None,
) -> None:
    """Measure how long sets take to be in force, and calls on the service."""
    logging.disable(logging.WARNING)
    rows = [
        _told(measure_in_force(count, publications, objects))
        for count in members
    ]
    _show(rows, output)


def _told(row: dict[str, float]) -> dict[str, float]:
    typer.echo(json.dumps({k: round(v, 4) for k, v in row.items()}))
    return row


def _show(rows: list[dict[str, float]], output: pathlib.Path | None) -> None:
    typer.echo(tabulate.tabulate(rows, headers='keys', floatfmt='.3f'))
    load = pathlib.Path('/proc/loadavg')
    typer.echo(f'python {platform.python_version()}')
    if load.exists():
        typer.echo(f'load {load.read_text().strip()}')
    if output is not None:
        output.write_text(json.dumps(rows, indent=1))


def processes(
    entries: typing.Annotated[int, typer.Option()] = 9,
    publications: typing.Annotated[int, typer.Option()] = 20,
    output: Output = None,
) -> None:
    """Measure how long sets take to be in force on entry processes."""
    _show([_told(entry_processes.measure(entries, publications))], output)


def leaving(
    entries: typing.Annotated[int, typer.Option()] = 9,
    trials: typing.Annotated[int, typer.Option()] = 6,
    output: Output = None,
) -> None:
    """Measure how long entries take to know that a target leaves."""
    rows = [
        _told(leaving_signs.measure(entries, trials, by_report))
        for by_report in (False, True)
    ]
    _show(rows, output)


def spread(
    members: typing.Annotated[int, typer.Option()] = 300,
    workers: typing.Annotated[int, typer.Option()] = 3,
    seconds: Seconds = 20.0,
    publications: typing.Annotated[int, typer.Option()] = 5,
    output: Output = None,
) -> None:
    """Measure a fleet that is spread over some processes."""
    row = spread_nodes.measure(members, workers, seconds, publications)
    _show([_told(row)], output)


app = typer.Typer(help='Measure membership and configuration.')
app.command('membership')(membership)
app.command('configuration')(configuration)
app.command('processes')(processes)
app.command('leaving')(leaving)
app.command('spread')(spread)
