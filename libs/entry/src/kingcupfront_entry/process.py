"""One entry process: its parts, its tasks and their lives."""

from collections.abc import Iterator
import contextlib
import dataclasses
import logging

import bottle
import gevent

from kingcupfront_config import consul  # noqa: F401 - fills the registry
from kingcupfront_config import in_force
from kingcupfront_config import settings
from kingcupfront_config import source
from kingcupfront_config import tls_files
from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_core import metrics
from kingcupfront_entry import administration
from kingcupfront_entry import cache_events
from kingcupfront_entry import generations
from kingcupfront_entry import gossip
from kingcupfront_entry import listener
from kingcupfront_entry import responses
from kingcupfront_entry import services
from kingcupfront_entry import shutdown
from kingcupfront_entry import state
from kingcupfront_entry import targets
from kingcupfront_entry import watch
from kingcupfront_peer import codec
from kingcupfront_peer import link
from kingcupfront_route import router
from kingcupfront_stream import engine

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Bound:
    """A running entry and the addresses that it has bound."""

    state: state.State
    responses: responses.ResponseTracker
    callers: address.Address
    administration: address.Address
    peers: address.Address


def build(options: settings.Settings) -> state.State:
    """Make the state of a process from its settings."""
    frames = codec.Codec(options.secret_values)
    tls = options.peers.tls
    return state.State(
        settings=options,
        clock=clock.SYSTEM,
        metrics=metrics.Metrics(),
        in_force=in_force.InForce(),
        source=source.sources.get(options.platform.kind)(options.platform),
        router=router.Router(),
        link=link.Link(
            options.instance,
            frames,
            server_context=tls and tls_files.server_context(tls),
            client_context=tls and tls_files.client_context(tls),
        ),
    )


@contextlib.contextmanager
def running(options: settings.Settings) -> Iterator[Bound]:
    """Run an entry while the block runs.

    :param options: the settings.
    :returns: the state and the addresses that were bound.
    """
    process = build(options)
    client = engine.EngineClient()
    callers = bottle.Bottle()
    generations.Generations(process, client).mount(callers)
    plain = services.PlainServices(process)
    plain.mount(callers)
    counted = responses.ResponseTracker(process)
    operators = bottle.Bottle()
    administration.Administration(process).mount(operators)
    with contextlib.ExitStack() as stack:
        peers = stack.enter_context(
            process.link.listening(options.peers.address)
        )
        stack.enter_context(gossip.running(process, peers))
        spread = process.components_by_name['configuration']
        rows = process.components_by_name['list']
        tasks = [
            gevent.spawn(watch.follow_configuration, process, spread),
            gevent.spawn(watch.follow_instances, process, spread, rows),
            gevent.spawn(targets.follow_load_reports, process, client),
            gevent.spawn(cache_events.follow, process, client),
            gevent.spawn(plain.members.poll_instance_list),
        ]
        stack.callback(gevent.killall, tasks)
        bound = Bound(
            process,
            counted,
            stack.enter_context(
                listener.serving(callers, options.callers, counted)
            ),
            stack.enter_context(
                listener.serving(operators, options.administration)
            ),
            peers,
        )
        LOG.info(
            'entry_started',
            extra={
                'instance': options.instance,
                'callers': str(bound.callers),
                'administration': str(bound.administration),
                'peers': str(bound.peers),
            },
        )
        yield bound


def run(options: settings.Settings) -> None:
    """Run an entry until it is told to stop and its requests have ended."""
    with shutdown.signals() as caught, running(options) as bound:
        caught.stop.wait()
        shutdown.drain(bound.state, bound.responses, caught)
