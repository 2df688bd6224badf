"""Builds and runs one entry process."""

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
from kingcupfront_core import caller_budget
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
BYTES_PER_MEGABYTE = 1000 * 1000


@dataclasses.dataclass(frozen=True)
class RunningEntry:
    """A running entry and the addresses that it listens on.

    :param state: the state of the process.
    :param responses: the responses in progress.
    :param callers: the address for callers.
    :param administration: the address of the administration API.
    :param peers: the address for other entries.
    """

    state: state.State
    responses: responses.ResponseTracker
    callers: address.Address
    administration: address.Address
    peers: address.Address


def build_state(options: settings.Settings) -> state.State:
    """Return the state of a process that has just started.

    :param options: the settings.
    """
    frames = codec.Codec(options.secret_values)
    tls = options.peers.tls
    own_metrics = metrics.Metrics()
    budget = _build_budget(options, own_metrics)
    return state.State(
        settings=options,
        clock=clock.SYSTEM,
        metrics=own_metrics,
        budget=budget,
        in_force=in_force.InForce(),
        source=source.sources.get(options.platform.kind)(options.platform),
        router=router.Router(),
        link=link.Link(
            options.instance,
            frames,
            server_context=tls and tls_files.server_context(tls),
            client_context=tls and tls_files.client_context(tls),
            budget=budget,
        ),
    )


def _build_budget(
    options: settings.Settings, own_metrics: metrics.Metrics
) -> caller_budget.CallerBudget:
    drops = own_metrics.counter(
        'kingcupfront_caller_drops',
        'Connections of callers dropped to make room.',
        ('cause',),
    )
    budget = caller_budget.CallerBudget(
        int(options.limits.memory_mb * BYTES_PER_MEGABYTE),
        options.limits.file_descriptors,
        lambda cause: drops.inc((str(cause),)),
    )
    own_metrics.gauge(
        'kingcupfront_caller_bytes',
        'Held for callers: requests that are being read or served.',
        lambda: budget.total,
    )
    return budget


@contextlib.contextmanager
def running(options: settings.Settings) -> Iterator[RunningEntry]:
    """Run an entry while the block runs.

    :param options: the settings.
    :returns: the running entry.
    """
    process = build_state(options)
    client = engine.EngineClient()
    callers_app = bottle.Bottle()
    generations.CompletionsApi(process, client).mount(callers_app)
    plain = services.PlainServices(process)
    plain.mount(callers_app)
    response_tracker = responses.ResponseTracker(process)
    admin_app = bottle.Bottle()
    administration.Administration(process).mount(admin_app)
    with contextlib.ExitStack() as stack:
        peers = stack.enter_context(
            process.link.listening(options.peers.address)
        )
        stack.enter_context(gossip.running(process, peers))
        configuration = process.components_by_name['configuration']
        instance_list = process.components_by_name['list']
        tasks = [
            gevent.spawn(watch.follow_configuration, process, configuration),
            gevent.spawn(
                watch.follow_instances, process, configuration, instance_list
            ),
            gevent.spawn(targets.follow_load_reports, process, client),
            gevent.spawn(cache_events.follow_cache_events, process, client),
            gevent.spawn(plain.members.poll_instance_list),
        ]
        stack.callback(gevent.killall, tasks)
        bound = RunningEntry(
            process,
            response_tracker,
            stack.enter_context(
                listener.serving(
                    callers_app,
                    options.callers,
                    caller_budget.Address(
                        process.budget, caller_budget.CALLERS_PART
                    ),
                    response_tracker,
                )
            ),
            stack.enter_context(
                listener.serving(
                    admin_app,
                    options.administration,
                    caller_budget.Address(
                        process.budget, caller_budget.PROBES_PART
                    ),
                )
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
    """Run an entry until a signal stops it and its requests have ended.

    :param options: the settings.
    """
    with shutdown.handle_signals() as received, running(options) as bound:
        received.wait()
        shutdown.drain(bound.state, bound.responses, received)
