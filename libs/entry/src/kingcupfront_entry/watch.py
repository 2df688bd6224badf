"""Tasks that follow the configuration service and the instance list."""

import logging
import random

import gevent

from kingcupfront_config import errors
from kingcupfront_config import manifest
from kingcupfront_entry import distribution
from kingcupfront_entry import instance_list_sync
from kingcupfront_entry import state

LOG = logging.getLogger(__name__)
WAIT_SECONDS = 10.0
RETRY_SECONDS = 1.0
MIN_INTERVAL_SECONDS = 0.1
WATCH_CHECK_SECONDS = 1.0


def follow_configuration(
    process: state.State, spread: distribution.ConfigurationDistribution
) -> None:
    """Put published sets in force, for ever, as long as it is a watcher.

    :param process: the process.
    :param spread: the distribution of sets.
    """
    key = process.settings.platform.key
    spread.catch_up(lambda: _read_once(process))
    index = 0
    while True:
        if not spread.is_watcher:
            index = 0
            gevent.sleep(WATCH_CHECK_SECONDS)
            continue
        try:
            value = process.source.read(key, index, WAIT_SECONDS)
            if value.data is not None:
                spread.put_in_force(_assemble(process, value.data))
            index = value.index
        except errors.SourceError as error:
            index = 0
            LOG.warning('source_unavailable', extra={'reason': str(error)})
            gevent.sleep(_jittered(RETRY_SECONDS))
        except errors.ConfigError as error:
            index = value.index
            LOG.warning('manifest_refused', extra={'reason': str(error)})
        gevent.sleep(MIN_INTERVAL_SECONDS)


def follow_instances(
    process: state.State,
    spread: distribution.ConfigurationDistribution,
    rows: instance_list_sync.InstanceListSync,
) -> None:
    """Read the instance list, for ever, as long as it is a watcher.

    :param process: the process.
    :param spread: the distribution of sets, which knows the watchers.
    :param rows: the list.
    """
    index = 0
    while True:
        if rows.index and not spread.is_watcher:
            index = 0
            gevent.sleep(WATCH_CHECK_SECONDS)
            continue
        try:
            fresh = process.source.instances(index, WAIT_SECONDS)
            rows.take(fresh)
            index = fresh.index
        except errors.SourceError as error:
            index = 0
            LOG.warning('list_unavailable', extra={'reason': str(error)})
            gevent.sleep(_jittered(RETRY_SECONDS))
        gevent.sleep(MIN_INTERVAL_SECONDS)


def _read_once(process: state.State) -> bytes | None:
    try:
        value = process.source.read(process.settings.platform.key, 0, 0.0)
        return value.data and _assemble(process, value.data)
    except (errors.SourceError, errors.ConfigError) as error:
        LOG.warning('source_unavailable', extra={'reason': str(error)})
        return None


def _assemble(process: state.State, value: bytes) -> bytes:
    return manifest.assemble(
        value, lambda key: process.source.read(key, 0, 0.0).data
    )


def _jittered(seconds: float) -> float:
    return seconds * random.uniform(0.5, 1.5)
