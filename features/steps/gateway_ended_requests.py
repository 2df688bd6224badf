"""Steps for requests that end while they wait for something."""

import types

import behave
import gevent

from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import errors
from kingcupfront_gateway import reservation
from kingcupfront_gateway import targets

# The platform's bound on work for a caller that has left.
AFTER_LEAVING_SECONDS = 0.5


@behave.when('reports of load hang from then on')
def reports_hang(context):
    site = context.site
    site.wait_until(lambda: any(e.made for e in site.targets.values()))
    for engine in site.targets.values():
        engine.reports = 0
        engine.hangs_reports = True


@behave.when('the caller leaves while the engine of the backup is asked')
def leaves_during_call(context):
    engines = context.site.targets.values()
    context.site.wait_until(lambda: any(e.reports for e in engines))
    gevent.sleep(0.05)
    context.line.close()


@behave.then("the engine's connection closes within half a second")
def connection_closes(context):
    engines = context.site.targets.values()
    still_open = AssertionError('the connection to the engine is open')
    with gevent.Timeout(AFTER_LEAVING_SECONDS, still_open):
        while not any(context.attempt in e.closed_early for e in engines):
            gevent.sleep(0.01)


@behave.when(
    'a caller leaves right after an engine was reserved for its request'
)
def leaves_reserved(context):
    site = context.site
    context.released = []
    state = targets.TargetState(
        next(iter(site.gateway.targets.by_id.values())).target, None
    )
    lease = types.SimpleNamespace(
        release=lambda: context.released.append(True)
    )
    reserved = reservation.Reservation(state, None, lease)
    try:
        with reservation.released_on_error(site.gateway, reserved):
            raise errors.CallerLeftError('left')
    except core_errors.KingcupfrontError:
        pass


@behave.then('the reservation is released')
def is_released(context):
    assert context.released


@behave.then('the gateway does not handle "{name}" as a failure of a target')
def not_a_failure(context, name):
    assert not issubclass(getattr(errors, name), errors.GatewayError)
