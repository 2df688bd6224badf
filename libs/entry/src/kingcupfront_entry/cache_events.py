"""Tasks that follow the cache events of model engines."""

import logging
import typing

import gevent

from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_route import prefix_index
from kingcupfront_route import target
from kingcupfront_stream import engine
from kingcupfront_stream import errors

LOG = logging.getLogger(__name__)
REVIEW_SECONDS = 1.0
WAIT_SECONDS = 2.0
RETRY_SECONDS = 2.0


def follow(process: state.State, client: engine.EngineClient) -> None:
    """Keep one task for each model engine that follows its events, for ever.

    :param process: the process.
    :param client: the engines' client.
    """
    tasks_by_target: dict[tuple, gevent.Greenlet] = {}
    try:
        while True:
            wanted = {
                (item.id, item.address): item
                for item in targets.model_engines(process)
            }
            for key in set(tasks_by_target) - set(wanted):
                tasks_by_target.pop(key).kill()
            for key in set(wanted) - set(tasks_by_target):
                tasks_by_target[key] = gevent.spawn(
                    _follow_one, process, client, wanted[key]
                )
            gevent.sleep(REVIEW_SECONDS)
    finally:
        gevent.killall(list(tasks_by_target.values()))


def _follow_one(
    process: state.State, client: engine.EngineClient, item: target.Target
) -> None:
    after = 0
    while True:
        try:
            rows = client.cache_events(item.address, after, WAIT_SECONDS)
            changes = [_change(row) for row in rows]
        except (errors.EngineError, LookupError, TypeError, ValueError) as bad:
            LOG.debug(
                'cache_events_missing',
                extra={'target': item.id, 'reason': str(bad)},
            )
            gevent.sleep(RETRY_SECONDS)
            continue
        for change in changes:
            process.router.observe_cache_event(item.id, change)
            after = max(after, change.number)


def _change(row: dict[str, typing.Any]) -> prefix_index.CacheEvent:
    return prefix_index.CacheEvent(
        int(row['number']),
        tuple(int(name, 16) for name in row['added']),
        tuple(int(name, 16) for name in row['removed']),
    )
