"""One gateway process: its listeners, its tasks and its end."""

from collections.abc import Iterator
import contextlib
import functools
import logging
import signal

import gevent
from gevent import event
from gevent import server as servers

from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import adapter
from kingcupfront_gateway import directory
from kingcupfront_gateway import gateway
from kingcupfront_gateway import peers
from kingcupfront_gateway import probes
from kingcupfront_gateway import reports
from kingcupfront_gateway import server
from kingcupfront_gateway import tasks

LOG = logging.getLogger(__name__)

BACKLOG = 1024
# The balancer takes an instance out after two missed questions, a second
# apart; until then it sends new connections.
NOTICE_SECONDS = 3.5
# Left of the time before SIGKILL for the process to end by itself.
EXIT_MARGIN_SECONDS = 0.4
STOP_POLL_SECONDS = 0.1
# A file that is being written as a process starts is whole after this time:
# a small file and a busy machine.
SETTINGS_WAIT_SECONDS = 2.0
SETTINGS_POLL_SECONDS = 0.1
# The platform may change the file without a signal.
SETTINGS_CHECK_SECONDS = 2.0


@contextlib.contextmanager
def running(platform: adapter.Adapter) -> Iterator[gateway.Gateway]:
    """Run a gateway while the block runs.

    :param platform: translates from and to the platform.
    """
    settings = read_initial_settings(platform)
    process = gateway.Gateway(platform, settings)
    with contextlib.ExitStack() as stack:
        for to, handle in (
            (settings.callers, server.Server(process).handle),
            (settings.readiness, probes.ProbeHandler(process).handle),
            (settings.metrics, probes.ProbeHandler(process).handle),
        ):
            if to is None:
                continue
            listener = servers.StreamServer(tuple(to), handle, backlog=BACKLOG)
            listener.start()
            stack.callback(listener.stop, 0)
        others = None
        if settings.peers is not None:
            others = peers.Peers(process)
            stack.enter_context(others.listening())
        stack.enter_context(
            tasks.supervised(
                directory=directory.DirectorySync(process, others).run,
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
    """Run a gateway until it is told to stop and its requests have ended."""
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    # Handled before the settings are read, so that no change is missed.
    changed = event.Event()
    gevent.signal_handler(signal.SIGHUP, changed.set)
    with running(platform) as process:
        follow_settings = functools.partial(_follow_settings, process, changed)
        with tasks.supervised(settings=follow_settings):
            stop.wait()
            _drain(process)


def read_initial_settings(platform: adapter.Adapter) -> adapter.Settings:
    """Read the settings, which may be in the middle of being written.

    :raises BadInputError: if they do not become proper in time.
    """
    for _ in range(round(SETTINGS_WAIT_SECONDS / SETTINGS_POLL_SECONDS)):
        try:
            return platform.settings()
        except core_errors.BadInputError as error:
            LOG.warning('settings_refused', extra={'detail': str(error)})
        gevent.sleep(SETTINGS_POLL_SECONDS)
    return platform.settings()


def _follow_settings(process: gateway.Gateway, changed: event.Event) -> None:
    """Read the settings again when a signal says so, and now and then."""
    while True:
        is_signalled = changed.wait(SETTINGS_CHECK_SECONDS)
        changed.clear()
        reload_settings(process, is_signalled=is_signalled)


def reload_settings(process: gateway.Gateway, *, is_signalled: bool) -> None:
    """Read the settings again; keep the present ones if that fails.

    :param is_told: whether a signal said that they have changed.
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


def _drain(process: gateway.Gateway) -> None:
    """Wait until the requests have ended, as long as the platform allows."""
    clock = process.clock
    process.stopping_since = start = clock.monotonic()
    LOG.info('gateway_stopping', extra={'active': process.active_requests})
    last = start + process.settings.drain_grace - EXIT_MARGIN_SECONDS
    while clock.monotonic() < last:
        noticed = clock.monotonic() - start > NOTICE_SECONDS
        if noticed and not process.active_requests:
            break
        gevent.sleep(STOP_POLL_SECONDS)
    LOG.info('gateway_stopped', extra={'active': process.active_requests})
