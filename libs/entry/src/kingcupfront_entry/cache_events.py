"""Tasks that keep the router's prefix index up to date from cache events."""

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
TARGETS_CHECK_INTERVAL_SECONDS = 1.0
LONG_POLL_SECONDS = 2.0
RETRY_DELAY_SECONDS = 2.0


def follow_cache_events(
    process: state.State, client: engine.EngineClient
) -> None:
    """Read the cache events of each model engine in its own task, for ever.

    :param process: the state of the process.
    :param client: the client for engines.
    """
    tasks_by_key: dict[tuple, gevent.Greenlet] = {}
    try:
        while True:
            engines_by_key = {
                (engine_target.id, engine_target.address): engine_target
                for engine_target in targets.model_engines(process)
            }
            for key in set(tasks_by_key) - set(engines_by_key):
                tasks_by_key.pop(key).kill()
            for key in set(engines_by_key) - set(tasks_by_key):
                tasks_by_key[key] = gevent.spawn(
                    _follow_engine, process, client, engines_by_key[key]
                )
            gevent.sleep(TARGETS_CHECK_INTERVAL_SECONDS)
    finally:
        gevent.killall(list(tasks_by_key.values()))


def _follow_engine(
    process: state.State,
    client: engine.EngineClient,
    engine_target: target.Target,
) -> None:
    after = 0
    while True:
        try:
            rows = client.cache_events(
                engine_target.address, after, LONG_POLL_SECONDS
            )
            cache_events = [_parse_event(row) for row in rows]
        except (
            errors.EngineError,
            LookupError,
            TypeError,
            ValueError,
        ) as error:
            LOG.debug(
                'cache_events_missing',
                extra={'target': engine_target.id, 'reason': str(error)},
            )
            gevent.sleep(RETRY_DELAY_SECONDS)
            continue
        for cache_event in cache_events:
            process.router.observe_cache_event(engine_target.id, cache_event)
            after = max(after, cache_event.number)


def _parse_event(row: dict[str, typing.Any]) -> prefix_index.CacheEvent:
    return prefix_index.CacheEvent(
        int(row['number']),
        tuple(int(name, 16) for name in row['added']),
        tuple(int(name, 16) for name in row['removed']),
    )
