"""Tasks that follow the configuration service and the instance list."""

import logging

import gevent

from kingcupfront_config import errors
from kingcupfront_entry import state
from kingcupfront_entry import targets

LOG = logging.getLogger(__name__)
WAIT_SECONDS = 10.0
RETRY_SECONDS = 0.5


def follow_configuration(process: state.State) -> None:
    """Offer each published set to the configuration in force, for ever."""
    index = 0
    key = process.settings.platform.key
    while True:
        try:
            value = process.source.read(key, index, WAIT_SECONDS)
        except errors.SourceError as error:
            LOG.warning('source_unavailable', extra={'reason': str(error)})
            gevent.sleep(RETRY_SECONDS)
            continue
        if value.data is not None and process.in_force.offer(value.data):
            LOG.info(
                'configuration_in_force',
                extra={'revision': process.in_force.revision},
            )
        index = value.index


def follow_instances(process: state.State) -> None:
    """Keep the router's targets as the instance list has them, for ever."""
    index = 0
    while True:
        try:
            listing = process.source.instances(index, WAIT_SECONDS)
        except errors.SourceError as error:
            LOG.warning('list_unavailable', extra={'reason': str(error)})
            gevent.sleep(RETRY_SECONDS)
            continue
        process.instances = listing.instances
        targets.refresh(process)
        index = listing.index
