"""Views of a process for operators, with secrets redacted."""

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
    """Return why the process is not ready, an empty list if it is.

    :param process: the state of the process.
    """
    reasons = []
    if process.in_force.current is None:
        reasons.append('no configuration is in force')
    if process.draining:
        reasons.append('a graceful shutdown has begun')
    if not process.ready and not reasons:
        reasons.append('the process is still catching up')
    return reasons


def status(process: state.State) -> dict[str, typing.Any]:
    """Return a summary of the process.

    :param process: the state of the process.
    """
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
    """Return a summary of the configuration in force.

    :param process: the state of the process.
    """
    current = process.in_force.current
    return {
        'revision': process.in_force.revision,
        'based_on': current.based_on if current else None,
        'bytes': len(process.in_force.data),
        'refusals': refusals(process),
    }


def refusals(process: state.State) -> list[dict[str, typing.Any]]:
    """Return the published set that is refused now, if any, with the reason.

    :param process: the state of the process.
    """
    refusal = process.in_force.refusal
    return [redaction.redact(dataclasses.asdict(refusal))] if refusal else []


def objects_by_key(process: state.State) -> dict[str, typing.Any]:
    """Return the configuration objects in force by ``KIND/NAME``.

    :param process: the state of the process.
    """
    current = process.in_force.current
    rows = current.objects if current else ()
    return {
        f'{row.kind}/{row.name}': redaction.redact(row.model_dump(mode='json'))
        for row in rows
    }


def target(
    process: state.State, row: route_target.Target
) -> dict[str, typing.Any]:
    """Return a target with the age of its load report in seconds.

    :param process: the state of the process.
    :param row: the target.
    """
    shown = row.as_dict() | {"address": str(row.address)}
    if row.report is not None:
        age = process.clock.monotonic() - row.report.taken_at
        shown['report_age_seconds'] = round(age, 3)
    return redaction.redact(shown)


def peers_by_id(process: state.State) -> dict[str, typing.Any]:
    """Return the other entries in the instance list by their id.

    :param process: the state of the process.
    """
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
    """Return the membership records of the other entries by their id.

    :param process: the state of the process.
    """
    component = process.components_by_name.get('peers')
    known = component.as_dict() if component is not None else {}
    return redaction.redact(known.get('members', {}))


def request(
    process: state.State, row: state.ActiveRequest
) -> dict[str, typing.Any]:
    """Return a request in progress with its age in seconds.

    :param process: the state of the process.
    :param row: the request.
    """
    age = process.clock.monotonic() - row.started_at
    shown = dataclasses.asdict(row) | {'age_seconds': round(age, 3)}
    return redaction.redact(shown)


def teams_by_name(process: state.State) -> dict[str, typing.Any]:
    """Return each team's limits and its requests in progress here.

    :param process: the state of the process.
    """
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
            'max_concurrent': team.max_concurrent,
            'tokens_per_second': team.tokens_per_second,
            'weight': team.weight,
            'priority': team.priority,
        }
        for name, team in teams.items()
    }


def runtime() -> dict[str, typing.Any]:
    """Return the event loop, the Python version and the process id."""
    loop = gevent.get_hub().loop
    return {
        'loop': type(loop).__module__,
        'backend': loop.backend,
        'python': platform.python_version(),
        'pid': os.getpid(),
    }


def dump(process: state.State) -> dict[str, typing.Any]:
    """Return the whole state, with at most MAX_DUMPED_ROWS rows a table.

    :param process: the state of the process.
    """
    rows = process.router.targets_by_id
    active_requests = process.active_requests_by_id
    shown = status(process) | {
        'callers': process.budget.as_dict(),
        'runtime': runtime(),
        'settings': process.settings.model_dump(mode='json'),
        'configuration': configuration(process)
        | {
            'objects': _truncated(objects_by_key(process).values()),
            'refusal': next(iter(refusals(process)), None),
        },
        'targets': {
            row.id: target(process, row) for row in _truncated(rows.values())
        },
        'peers': peers_by_id(process),
        'teams': teams_by_name(process),
        'requests': [
            request(process, row)
            for row in _truncated(active_requests.values())
        ],
        'metrics': process.metrics.as_dict(),
        'parts': {
            name: component.as_dict()
            for name, component in process.components_by_name.items()
        },
    }
    return redaction.redact(shown)


def _truncated(rows: Iterable[typing.Any]) -> list[typing.Any]:
    return list(itertools.islice(rows, MAX_DUMPED_ROWS))
