"""What operators see of a process, without secrets."""

from collections.abc import Iterable
import dataclasses
import itertools
import os
import platform
import typing

import gevent

from kingcupfront_core import redaction
from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_route import target as route_target

MAX_DUMPED_ROWS = 10_000


def unready_reasons(process: state.State) -> list[str]:
    """Return why new callers should not come, empty if they should."""
    reasons = []
    if process.in_force.current is None:
        reasons.append('no configuration is in force')
    if process.draining:
        reasons.append('a graceful shutdown has begun')
    if not process.ready and not reasons:
        reasons.append('the process is still catching up')
    return reasons


def status(process: state.State) -> dict[str, typing.Any]:
    """Return the process in a few lines."""
    rows = process.router.targets_by_id.values()
    return {
        'instance': process.settings.instance,
        'place': process.settings.place,
        'incarnation': process.link.incarnation,
        'ready': process.ready,
        'reasons': unready_reasons(process),
        'draining': process.draining,
        'revision': process.in_force.revision,
        'refusals': len(refusals(process)),
        'requests': len(process.active_requests_by_id),
        'targets': len(rows),
        'targets_leaving': sum(1 for row in rows if row.leaving),
        'peers': len(peers_by_id(process)),
    }


def configuration(process: state.State) -> dict[str, typing.Any]:
    """Return which set is in force."""
    current = process.in_force.current
    return {
        'revision': process.in_force.revision,
        'based_on': current.based_on if current else None,
        'bytes': len(process.in_force.data),
        'refusals': refusals(process),
    }


def refusals(process: state.State) -> list[dict[str, typing.Any]]:
    """Return why published sets did not come into force."""
    refusal = process.in_force.refusal
    return [redaction.redact(dataclasses.asdict(refusal))] if refusal else []


def objects_by_key(process: state.State) -> dict[str, typing.Any]:
    """Return the objects in force by their kind and name."""
    current = process.in_force.current
    rows = current.objects if current else ()
    return {
        f'{row.kind}/{row.name}': redaction.redact(row.model_dump(mode='json'))
        for row in rows
    }


def target(
    process: state.State, row: route_target.Target
) -> dict[str, typing.Any]:
    """Return a target and the age of its report in seconds."""
    shown = row.as_dict() | {"address": str(row.address)}
    if row.report is not None:
        age = process.clock.monotonic() - row.report.taken_at
        shown['report_age_seconds'] = round(age, 3)
    return redaction.redact(shown)


def peers_by_id(process: state.State) -> dict[str, typing.Any]:
    """Return the other entries that the instance list names."""
    return {
        row.id: {
            'id': row.id,
            'place': row.place,
            'address': str(row.address),
            'leaving': row.leaving,
        }
        for row in process.instances
        if row.service == targets.ENTRY_SERVICE
        and row.id != process.settings.instance
    }


def members_by_id(process: state.State) -> dict[str, typing.Any]:
    """Return what membership knows of the other entries, by their id."""
    part = process.components_by_name.get('peers')
    known = part.as_dict() if part is not None else {}
    return redaction.redact(known.get('members', {}))


def request(
    process: state.State, row: state.ActiveRequest
) -> dict[str, typing.Any]:
    """Return a request in progress and its age in seconds."""
    age = process.clock.monotonic() - row.started_at
    shown = dataclasses.asdict(row) | {'age_seconds': round(age, 3)}
    return redaction.redact(shown)


def teams_by_name(process: state.State) -> dict[str, typing.Any]:
    """Return each team's limits and its use of this process."""
    current = process.in_force.current
    teams = current.by_name('team') if current else {}
    in_progress: dict[str, dict[str, int]] = {}
    for row in process.active_requests_by_id.values():
        by_service = in_progress.setdefault(row.team, {})
        by_service[row.service] = by_service.get(row.service, 0) + 1
    return {
        name: {
            'name': name,
            'requests': sum(in_progress.get(name, {}).values()),
            'requests_by_service': in_progress.get(name, {}),
            'max_concurrent': item.max_concurrent,
            'tokens_per_second': item.tokens_per_second,
            'weight': item.weight,
            'priority': item.priority,
        }
        for name, item in teams.items()
    }


def runtime() -> dict[str, typing.Any]:
    """Return what the process runs on."""
    loop = gevent.get_hub().loop
    return {
        'loop': type(loop).__module__,
        'backend': loop.backend,
        'python': platform.python_version(),
        'pid': os.getpid(),
    }


def dump(process: state.State) -> dict[str, typing.Any]:
    """Return the whole state; long tables are cut at a bound."""
    rows = process.router.targets_by_id
    activities = process.active_requests_by_id
    shown = status(process) | {
        'runtime': runtime(),
        'settings': process.settings.model_dump(mode='json'),
        'configuration': configuration(process)
        | {
            'objects': _first(objects_by_key(process).values()),
            'refusal': next(iter(refusals(process)), None),
        },
        'targets': {
            row.id: target(process, row) for row in _first(rows.values())
        },
        'peers': peers_by_id(process),
        'teams': teams_by_name(process),
        'requests': [
            request(process, row) for row in _first(activities.values())
        ],
        'metrics': process.metrics.as_dict(),
        'parts': {
            name: part.as_dict()
            for name, part in process.components_by_name.items()
        },
    }
    return redaction.redact(shown)


def _first(rows: Iterable[typing.Any]) -> list[typing.Any]:
    return list(itertools.islice(rows, MAX_DUMPED_ROWS))
