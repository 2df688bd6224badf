"""Tasks that watch the configuration service and the instance list."""

import logging
import random

import gevent

from kingcupfront_config import errors
from kingcupfront_config import manifest
from kingcupfront_entry import distribution
from kingcupfront_entry import instance_list_sync
from kingcupfront_entry import state

LOG = logging.getLogger(__name__)
LONG_POLL_SECONDS = 10.0
RETRY_DELAY_SECONDS = 1.0
MIN_READ_INTERVAL_SECONDS = 0.1
WATCHER_CHECK_INTERVAL_SECONDS = 1.0


def follow_configuration(
    process: state.State, configuration: distribution.ConfigurationDistribution
) -> None:
    """Put published sets in force while this process is a watcher, for ever.

    :param process: the state of the process.
    :param configuration: the distribution of the configuration.
    """
    key = process.settings.platform.key
    configuration.catch_up(lambda: _read_published(process))
    index = 0
    while True:
        if not configuration.is_watcher:
            index = 0
            gevent.sleep(WATCHER_CHECK_INTERVAL_SECONDS)
            continue
        try:
            value = process.source.read(key, index, LONG_POLL_SECONDS)
            if value.data is not None:
                configuration.put_in_force(_assemble(process, value.data))
            index = value.index
        except errors.SourceError as error:
            index = 0
            LOG.warning('source_unavailable', extra={'reason': str(error)})
            gevent.sleep(_jittered(RETRY_DELAY_SECONDS))
        except errors.ConfigError as error:
            index = value.index
            LOG.warning('manifest_refused', extra={'reason': str(error)})
        gevent.sleep(MIN_READ_INTERVAL_SECONDS)


def follow_instances(
    process: state.State,
    configuration: distribution.ConfigurationDistribution,
    instance_list: instance_list_sync.InstanceListSync,
) -> None:
    """Read the instance list while this process is a watcher, for ever.

    A process that has no list yet reads it too.

    :param process: the state of the process.
    :param configuration: the distribution of the configuration, which knows
        whether this process is a watcher.
    :param instance_list: the list to update.
    """
    index = 0
    while True:
        if instance_list.index and not configuration.is_watcher:
            index = 0
            gevent.sleep(WATCHER_CHECK_INTERVAL_SECONDS)
            continue
        try:
            new_list = process.source.instances(index, LONG_POLL_SECONDS)
            instance_list.replace(new_list)
            index = new_list.index
        except errors.SourceError as error:
            index = 0
            LOG.warning('list_unavailable', extra={'reason': str(error)})
            gevent.sleep(_jittered(RETRY_DELAY_SECONDS))
        gevent.sleep(MIN_READ_INTERVAL_SECONDS)


def _read_published(process: state.State) -> bytes | None:
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
