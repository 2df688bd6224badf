"""Serves callers' connections."""

import logging

import gevent
from gevent import socket as cooperative

from kingcupfront_core import outcomes
from kingcupfront_gateway import adapter
from kingcupfront_gateway import admission
from kingcupfront_gateway import caller
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import generation
from kingcupfront_gateway import objects
from kingcupfront_gateway import plain_request
from kingcupfront_gateway import request_record
from kingcupfront_gateway import sockets
from kingcupfront_gateway import stopping

LOG = logging.getLogger(__name__)

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# The balancer sends the next connection to another instance.
STOPPING_RETRY_SECONDS = 0.05


class Server:
    """Reads requests from connections and has them served.

    :param process: the parts of the process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        metrics = process.metrics
        self._requests = metrics.counter(
            'gateway_requests', 'Requests by outcome.', ('outcome', 'status')
        )
        self._durations = metrics.histogram(
            'gateway_request_seconds', 'From the request to its answer.'
        )

    def handle(self, sock: cooperative.socket, _: object) -> None:
        """Serve a connection until one side closes it."""
        sockets.prepare(sock)
        configuration = self._process.configuration
        limits = (
            configuration.limits if configuration else objects.CallerLimits()
        )
        link = caller.CallerConnection(sock, limits)
        try:
            while self._serve_next(link):
                link.go_on()
        except errors.CallerLeftError:
            LOG.debug('caller_left_idle')
        finally:
            link.close()

    def _serve_next(self, link: caller.CallerConnection) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = link.read()
        except errors.MalformedRequestError as error:
            LOG.info('request_malformed', extra={'detail': str(error)})
            self._answer(link, error.status, str(error), close=True)
            return False
        if request is None:
            return False
        self._process.active_requests += 1
        try:
            self._serve(link, request)
        finally:
            self._process.active_requests -= 1
        return link.can_go_on and not self._process.is_stopping

    def _serve(
        self, link: caller.CallerConnection, request: caller.Request
    ) -> None:
        clock = self._process.clock
        note = request_record.RequestRecord(clock.monotonic())
        outcome, cause, detail, ask = outcomes.Outcome.DONE, '', '', None
        try:
            ask = self._process.platform.read_request(
                request.method, request.target, request.headers
            )
            with link.watched():
                self._dispatch(link, request, ask, note)
            if note.status >= 400:
                outcome = outcomes.Outcome.FAILED
        except errors.MalformedRequestError as error:
            outcome, cause = outcomes.Outcome.NOT_RUN, error.code
            detail = str(error)
            note.status = error.status
            self._answer(link, error.status, detail)
        except errors.RefusedError as error:
            outcome, cause = outcomes.Outcome.NOT_RUN, error.reason
            note.status = error.status
            self._answer(link, error.status, error.reason, error.retry_after)
        except errors.CallerLeftError:
            outcome, cause = outcomes.Outcome.LOST, 'caller_left'
        except errors.OutOfTimeError:
            outcome = self._fail(link, note, GATEWAY_TIMEOUT, 'out_of_time')
            cause = 'out_of_time'
        except errors.TargetError as error:
            cause, detail = error.code, str(error)
            outcome = self._fail(link, note, BAD_GATEWAY, error.code)
        self._finish(request, ask, note, outcome, cause, detail)

    def _dispatch(
        self,
        link: caller.CallerConnection,
        request: caller.Request,
        ask: adapter.RequestMetadata,
        note: request_record.RequestRecord,
    ) -> None:
        allowed = admission.admit(self._process, request, ask)
        route = allowed.route
        note.route, note.version = route.name, allowed.version
        note.team = allowed.team.name if allowed.team else ''
        wait = route.timeout
        if ask.seconds is not None:
            wait = min(wait, ask.seconds)
        note.deadline = note.arrived_at + wait
        self._process.budget(route.shares[0].service).note_request(
            note.arrived_at
        )
        self._check_time(ask, route, note)
        close = self._process.is_stopping
        with gevent.Timeout(wait, errors.OutOfTimeError('out of time')):
            if route.is_stream:
                generation.Generation(
                    self._process, link, request, ask, note, allowed
                ).serve(close=close)
            else:
                plain_request.PlainRequest(
                    self._process, request, ask, note, allowed
                ).serve(link, close=close)

    def _check_time(
        self,
        ask: adapter.RequestMetadata,
        route: objects.Route,
        note: request_record.RequestRecord,
    ) -> None:
        """Refuse what would be cut when the process ends."""
        process = self._process
        if not process.is_stopping:
            return
        seconds = route.latency_objective
        if route.is_stream:
            seconds = stopping.generation_seconds(
                engine_load.worst_case_output_tokens(
                    ask.length_hint, ask.max_output_tokens
                )
            )
        if not stopping.can_finish(
            seconds,
            process.stopping_since,
            process.settings.drain_grace,
            note.arrived_at,
        ):
            raise errors.RefusedError(503, 'stopping', STOPPING_RETRY_SECONDS)

    def _fail(
        self,
        link: caller.CallerConnection,
        note: request_record.RequestRecord,
        status: int,
        cause: str,
    ) -> outcomes.Outcome:
        """Answer a request that has no reply; return its outcome."""
        if link.has_answered:
            return outcomes.Outcome.LOST
        if not note.runs:
            note.status = 503
            self._answer(link, 503, cause, 0.1)
            return outcomes.Outcome.NOT_RUN
        note.status = status
        self._answer(link, status, cause)
        return outcomes.Outcome.UNKNOWN

    def _answer(
        self,
        link: caller.CallerConnection,
        status: int,
        reason: str,
        retry_after: float | None = None,
        *,
        close: bool = False,
    ) -> None:
        if link.has_answered:
            return
        headers = [(b'Content-Type', b'text/plain')]
        if retry_after is not None:
            headers.append((b'Retry-After', f'{retry_after:.2f}'.encode()))
        try:
            link.answer(
                status,
                headers,
                reason.encode() + b'\n',
                close=close or self._process.is_stopping,
            )
        except errors.CallerLeftError:
            LOG.debug('caller_left_before_refusal')

    def _finish(
        self,
        request: caller.Request,
        ask: object,
        note: request_record.RequestRecord,
        outcome: outcomes.Outcome,
        cause: str,
        detail: str,
    ) -> None:
        process = self._process
        now = process.clock.monotonic()
        seconds = now - note.arrived_at
        self._durations.record(seconds)
        self._requests.labels(str(outcome), str(note.status)).inc()
        LOG.info(
            'request_ended',
            extra={
                'request': ask.id if ask else '',
                'route': note.route,
                'path': '' if note.route else request.path,
                'team': note.team,
                'outcome': str(outcome),
                'status': note.status,
                'cause': cause,
                'detail': detail,
                'targets': ','.join(note.target_ids),
                'sends': note.sends,
                'runs': note.runs,
                'events': note.events,
                'moves': note.moves,
                'first_event': _after(note.arrived_at, note.first_event_at),
                'seconds': round(seconds, 3),
                'version': note.version,
                'age': round(process.freshness.age(now), 2),
            },
        )


def _after(start: float, moment: float | None) -> float | None:
    return None if moment is None else round(moment - start, 3)
