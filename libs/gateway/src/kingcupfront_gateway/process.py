"""The life cycle of a gateway process: listeners, tasks and shutdown."""

from collections.abc import Iterator
import contextlib
import functools
import logging
import signal

import gevent
from gevent import event
from gevent import server as servers

from kingcupfront_core import errors as core_errors
from kingcupfront_core import stop_signal
from kingcupfront_gateway import adapter
from kingcupfront_gateway import clocks
from kingcupfront_gateway import directory
from kingcupfront_gateway import draining
from kingcupfront_gateway import evidence_exchange
from kingcupfront_gateway import gateway
from kingcupfront_gateway import origin_exchange
from kingcupfront_gateway import peers
from kingcupfront_gateway import probes
from kingcupfront_gateway import reports
from kingcupfront_gateway import server
from kingcupfront_gateway import tasks

LOG = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
# Connections accepted at a time: each may have to wait for another to close.
MAX_ACCEPTS = 10
# A settings file that is being written as the process starts is complete after
# this time: it is small, but the machine may be busy.
INITIAL_SETTINGS_WAIT_SECONDS = 2.0
INITIAL_SETTINGS_POLL_SECONDS = 0.1
# The platform may change the settings file without sending a signal.
SETTINGS_RELOAD_INTERVAL_SECONDS = 2.0


@contextlib.contextmanager
def running(
    platform: adapter.Adapter, settings: adapter.Settings
) -> Iterator[gateway.Gateway]:
    """Run a gateway while the block runs.

    :param platform: translates between the platform and the gateway.
    :param settings: the settings read at the start.
    """
    process = gateway.Gateway(platform, settings)
    with contextlib.ExitStack() as stack:
        for listen_address, handle in (
            (settings.callers, server.Server(process).handle),
            (settings.readiness, probes.ProbeHandler(process).handle),
            (settings.metrics, probes.ProbeHandler(process).handle),
        ):
            if listen_address is None:
                continue
            listener = servers.StreamServer(
                tuple(listen_address), handle, backlog=LISTEN_BACKLOG
            )
            listener.max_accept = MAX_ACCEPTS
            listener.start()
            stack.callback(listener.stop, 0)
            if listen_address is settings.callers:
                process.stop_listening = listener.close
        peer_exchange = None
        if settings.peers is not None:
            peer_exchange = peers.PeerExchange(process)
            evidence = evidence_exchange.EvidenceExchange(
                process, peer_exchange.link, peer_exchange.members
            )
            origins = origin_exchange.OriginExchange(
                process, peer_exchange.link, peer_exchange.members
            )
            process.origin_exchange = origins
            stack.enter_context(peer_exchange.listening())
            stack.enter_context(
                tasks.supervised(
                    evidence=evidence.run,
                    origins=origins.run,
                    earlier_origins=origins.publish_earlier,
                )
            )
        stack.enter_context(
            tasks.supervised(
                directory=directory.DirectorySync(process, peer_exchange).run,
                reports=functools.partial(
                    reports.poll_engines_in_use, process
                ),
            )
        )
        LOG.info(
            'gateway_started',
            extra={
                'instance': settings.instance,
                'place': settings.zone,
                'callers': str(settings.callers),
                'readiness': str(settings.readiness),
            },
        )
        yield process


def run(platform: adapter.Adapter) -> None:
    """Run a gateway until SIGTERM or SIGINT, then drain its requests."""
    # Installed before the settings are read, so that no change is missed.
    changed = event.Event()
    gevent.signal_handler(signal.SIGHUP, changed.set)
    with stop_signal.handled(clocks.BOOT) as stop:
        settings = read_initial_settings(platform, stop)
        if settings is None:
            LOG.info('gateway_stopped', extra={'active': 0})
            return
        with running(platform, settings) as process:
            watch_settings = functools.partial(
                _watch_settings, process, changed
            )
            with tasks.supervised(settings=watch_settings):
                stop.wait()
                draining.drain(process, stop.arrived_at)


def read_initial_settings(
    platform: adapter.Adapter, stop: stop_signal.StopSignal
) -> adapter.Settings | None:
    """Read the settings, retrying while their file is being written.

    :returns: the settings, or None if the process is told to stop.
    :raises BadInputError: if they are still invalid after
        ``INITIAL_SETTINGS_WAIT_SECONDS``.
    """
    for _ in range(
        round(INITIAL_SETTINGS_WAIT_SECONDS / INITIAL_SETTINGS_POLL_SECONDS)
    ):
        if stop.is_set:
            return None
        try:
            return platform.settings()
        except core_errors.BadInputError as error:
            LOG.warning('settings_refused', extra={'detail': str(error)})
        stop.wait(INITIAL_SETTINGS_POLL_SECONDS)
    return None if stop.is_set else platform.settings()


def _watch_settings(process: gateway.Gateway, changed: event.Event) -> None:
    """Reload the settings on a signal and at regular intervals."""
    while True:
        is_signalled = changed.wait(SETTINGS_RELOAD_INTERVAL_SECONDS)
        changed.clear()
        reload_settings(process, is_signalled=is_signalled)


def reload_settings(process: gateway.Gateway, *, is_signalled: bool) -> None:
    """Reload the settings; keep the current ones if they are invalid.

    :param is_signalled: whether a signal announced the change.
    """
    try:
        settings = process.platform.settings()
    except core_errors.BadInputError as error:
        LOG.error(
            'settings_refused',
            extra={'is_told': is_signalled, 'detail': str(error)},
        )
        return
    if is_signalled or settings != process.settings:
        process.apply_settings(settings)
        LOG.info('settings_reloaded', extra={'is_told': is_signalled})
