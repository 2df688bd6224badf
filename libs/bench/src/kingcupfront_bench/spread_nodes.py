"""Nodes in several processes, for fleets that one process can't hold."""

import contextlib
import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import gevent

from kingcupfront_bench import nodes as bench_nodes
from kingcupfront_config import instance_list
from kingcupfront_config import source
from kingcupfront_core import address as addresses
from kingcupfront_peer import member as members

POLL_SECONDS = 0.05
SETTLE_SECONDS = 10.0
PUBLISH_INTERVAL_SECONDS = 4.0
LIMIT_SECONDS = 60.0
PLACES = 3
PERCENT = 100


def measure(
    count: int, workers: int, seconds: float, publications: int
) -> dict[str, float]:
    """Return traffic of nodes and the time until sets are in force.

    :param count: the nodes in all processes together.
    :param workers: the number of processes.
    :param seconds: how long to measure traffic, in seconds.
    :param publications: how many sets are published after that.
    """
    with tempfile.TemporaryDirectory() as folder:
        jobs = [
            subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'kingcupfront_bench.spread_nodes',
                    folder,
                    *map(str, (n, workers, count, seconds, publications)),
                ]
            )
            for n in range(workers)
        ]
        for job in jobs:
            job.wait()
        rows = [
            json.loads(pathlib.Path(folder, f'result-{n}').read_text())
            for n in range(workers)
        ]
    times = sorted(t for row in rows for t in row['times'])
    total = {
        name: sum(row[name] for row in rows) / count
        for name in ('bytes', 'datagrams', 'cpu', 'view')
    }
    return {
        'members': count,
        'processes': workers,
        'all_bytes_per_s': total['bytes'],
        'datagrams_per_s': total['datagrams'],
        'cpu_percent': PERCENT * total['cpu'],
        'view': total['view'],
        'false_dead': sum(row['dead'] for row in rows),
        'in_force': len(times) / count / max(publications, 1),
        'p50_s': times[len(times) // 2],
        'p99_s': times[int(len(times) * 0.99)],
        'worst_s': times[-1],
        'calls_per_s': sum(row['calls'] for row in rows),
    }


def work(
    folder: pathlib.Path,
    index: int,
    workers: int,
    count: int,
    seconds: float,
    publications: int,
) -> None:
    """Hold one process's share of the nodes and write what was seen."""
    service = bench_nodes.Service()
    data = bench_nodes.publication(1, objects=100)
    service.publish(data)
    with contextlib.ExitStack() as stack:
        fleet = [
            stack.enter_context(
                bench_nodes.Node(f'n{n}', f'p{n % PLACES}', service).running()
            )
            for n in range(index, count, workers)
        ]
        _list(folder, index, workers, fleet)
        gevent.sleep(SETTLE_SECONDS)
        row = _traffic(fleet, seconds)
        calls, start = service.calls, time.monotonic()
        starts = {}
        for revision in range(2, 2 + publications):
            data = bench_nodes.publication(revision, data, objects=100)
            starts[revision] = _publish(folder, index, revision)
            service.publish(data)
            gevent.sleep(PUBLISH_INTERVAL_SECONDS)
        elapsed = max(time.monotonic() - start, 1.0)
        row['calls'] = (service.calls - calls) / elapsed
        row['times'] = [
            at - starts[line.revision]
            for node in fleet
            for at, line in node.log
            if line.revision in starts
        ]
        row['dead'] = sum(
            item.state is members.State.DEAD
            for node in fleet
            for item in node.beats.membership.members_by_id.values()
        )
        _write(folder / f'result-{index}', json.dumps(row))
        _await(folder, 'result', workers)
        os._exit(0)


def _list(
    folder: pathlib.Path,
    index: int,
    workers: int,
    fleet: list[bench_nodes.Node],
) -> None:
    own = [(n.name, n.place, str(n.address)) for n in fleet]
    _write(folder / f'rows-{index}', json.dumps(own))
    _await(folder, 'rows', workers)
    rows = tuple(
        instance_list.Instance(
            name, 'kingcupfront', place, addresses.Address.parse(where)
        )
        for n in range(workers)
        for name, place, where in json.loads(
            (folder / f'rows-{n}').read_text()
        )
    )
    for node in fleet:
        node.rows.replace(source.Listing(1, rows))
        gevent.sleep(0)


def _traffic(
    fleet: list[bench_nodes.Node], seconds: float
) -> dict[str, float]:
    before = [vars(n.beats.datagrams.traffic).copy() for n in fleet]
    cpu, start = time.process_time(), time.monotonic()
    gevent.sleep(seconds)
    elapsed = time.monotonic() - start
    moved = {
        name: sum(
            getattr(n.beats.datagrams.traffic, name) - b[name]
            for n, b in zip(fleet, before, strict=True)
        )
        for name in before[0]
    }
    views = [len(n.beats.membership.members_by_id) for n in fleet]
    return {
        'bytes': (moved['sent_bytes'] + moved['received_bytes']) / elapsed,
        'datagrams': moved['sent'] / elapsed,
        'cpu': (time.process_time() - cpu) / elapsed,
        'view': sum(views),
    }


def _publish(folder: pathlib.Path, index: int, revision: int) -> float:
    path = folder / f'at-{revision}'
    if index == 0:
        _write(path, str(time.monotonic()))
    end = time.monotonic() + LIMIT_SECONDS
    while not path.exists() and time.monotonic() < end:
        gevent.sleep(POLL_SECONDS / 10)
    return float(path.read_text())


def _await(folder: pathlib.Path, name: str, workers: int) -> None:
    end = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < end:
        if all((folder / f'{name}-{n}').exists() for n in range(workers)):
            return
        gevent.sleep(POLL_SECONDS)
    raise TimeoutError(f'not all processes wrote {name}')


def _write(path: pathlib.Path, text: str) -> None:
    fresh = path.with_name(f'.{path.name}')
    fresh.write_text(text)
    fresh.rename(path)


def main() -> None:
    """Run one of the processes."""
    folder, index, workers, count, seconds, publications = sys.argv[1:]
    work(
        pathlib.Path(folder),
        int(index),
        int(workers),
        int(count),
        float(seconds),
        int(publications),
    )


if __name__ == '__main__':
    logging.disable(logging.ERROR)
    main()
