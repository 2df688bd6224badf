"""Asks an engine whether it keeps a backup from which a run can continue."""

import logging

from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)


def is_complete(
    process: gateway.Gateway,
    request_id: str,
    backup: targets.TargetState,
    generation: engine_load.TrackedGeneration,
) -> bool:
    """Return whether an engine holds enough for a backup of a generation.

    The engine reports only the total size of the copies that it keeps.

    :param request_id: the id of the request, for logs.
    :param backup: the engine that is to keep the backup.
    :param generation: the generation as its own engine's load counts it.
    """
    connection = json_calls.PooledJsonConnection(process, backup.target)
    fields = {'request': request_id, 'target': backup.target.id}
    try:
        report = process.platform.read_report(connection)
    except errors.GatewayError as error:
        LOG.info(
            'backup_unknown',
            extra=fields | {'cause': error.code, 'detail': str(error)},
        )
        return False
    needed = generation.prompt_tokens + generation.produced_tokens // 2
    LOG.info(
        'backup_asked',
        extra=fields | {'held_tokens': report.copy_memory, 'needed': needed},
    )
    return report.copy_memory >= needed
