"""Serves the requests on callers' connections."""

import contextlib
import logging

import gevent
from gevent import socket as cooperative
import h11

from kingcupfront_core import caller_budget
from kingcupfront_core import outcomes
from kingcupfront_gateway import adapter
from kingcupfront_gateway import admission
from kingcupfront_gateway import caller
from kingcupfront_gateway import candidates
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import generation
from kingcupfront_gateway import objects
from kingcupfront_gateway import plain_request
from kingcupfront_gateway import request_record
from kingcupfront_gateway import sockets
from kingcupfront_gateway import stopping
from kingcupfront_gateway import unanswered

LOG = logging.getLogger(__name__)

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Short, because the load balancer connects the caller to another instance.
STOPPING_RETRY_SECONDS = 0.05


class Server:
    """Reads requests from connections, serves them and records the outcomes.

    :param process: the shared state of the process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        metrics = process.metrics
        self._requests = metrics.counter(
            'gateway_requests', 'Requests by outcome.', ('outcome', 'status')
        )
        self._refusals = metrics.counter(
            'gateway_refusals',
            'Requests that were refused as not executed, by reason.',
            ('reason',),
        )
        self._durations = metrics.histogram(
            'gateway_request_seconds', 'From the request to its answer.'
        )
        self._unanswered = unanswered.UnansweredRequests(process)

    def handle(self, sock: cooperative.socket, _: object) -> None:
        """Serve a connection until one side closes it."""
        sockets.configure(sock, sockets.CALLER_USER_TIMEOUT_MILLISECONDS)
        process = self._process
        connection = caller.CallerConnection(
            sock,
            self._current_limits,
            lambda: process.is_stopping,
            self._refusal_of_head,
            self._allowed_idle_seconds,
        )
        with connection.counted(process.callers_address) as has_room:
            process.tasks_by_connection[connection] = gevent.getcurrent()
            try:
                if has_room:
                    self._serve_all(connection)
                else:
                    process.refused_connections.inc()
                    self._send_over_budget(connection)
            finally:
                try:
                    connection.close()
                finally:
                    del process.tasks_by_connection[connection]

    def _serve_all(self, connection: caller.CallerConnection) -> None:
        try:
            while self._serve_next(connection):
                connection.start_next_request()
        except (errors.CallerLeftError, errors.OverBudgetError) as error:
            LOG.debug('caller_left_idle', extra={'detail': str(error)})
            if connection.phase is caller.Phase.READING:
                self._unanswered.record(connection, None, error.code)

    def _refusal_of_head(self, request: caller.Request) -> Exception | None:
        """Return why a request is refused whatever its body is."""
        # An unexpected error comes again when the request is served, and is
        # answered then.
        with contextlib.suppress(Exception):
            try:
                metadata = self._process.platform.read_request(
                    request.method, request.target, request.headers
                )
                admission.admit(self._process, request, metadata)
            except (
                errors.MalformedRequestError,
                errors.RefusedError,
            ) as error:
                # Its frames hold the connection.
                return error.with_traceback(None)
        return None

    def _send_over_budget(self, connection: caller.CallerConnection) -> None:
        self._send_text(
            connection,
            503,
            errors.OverBudgetError.code,
            caller_budget.RETRY_SECONDS,
            close=True,
        )

    def _current_limits(self) -> objects.CallerLimits:
        configuration = self._process.configuration
        return (
            configuration.limits if configuration else objects.CallerLimits()
        )

    def _allowed_idle_seconds(self, idle_seconds: float) -> float:
        process = self._process
        return process.idle_timeouts.allowed(
            process.clock.monotonic() - idle_seconds,
            self._current_limits().idle_timeout,
        )

    def _serve_next(self, connection: caller.CallerConnection) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = connection.read_request()
        except errors.MalformedRequestError as error:
            LOG.info('request_malformed', extra={'detail': str(error)})
            self._send_text(connection, error.status, str(error), close=True)
            return False
        except errors.StoppingError as error:
            self._send_text(
                connection,
                503,
                error.code,
                STOPPING_RETRY_SECONDS,
                close=True,
            )
            return False
        except errors.OverBudgetError:
            self._send_over_budget(connection)
            return False
        if request is None:
            return False
        record = request_record.RequestRecord(self._process.clock.monotonic())
        active = gateway.ActiveRequest(connection, gevent.getcurrent(), record)
        self._process.active_requests.add(active)
        try:
            self._serve(connection, request, record)
        finally:
            self._process.active_requests.remove(active)
        return connection.can_reuse

    def _serve(
        self,
        connection: caller.CallerConnection,
        request: caller.Request,
        record: request_record.RequestRecord,
    ) -> None:
        outcome, cause, detail = outcomes.Outcome.DONE, '', ''
        has_response = True
        try:
            metadata = self._process.platform.read_request(
                request.method, request.target, request.headers
            )
            record.request_id = metadata.request_id
            if request.refusal is not None:
                raise request.refusal
            with connection.cancel_on_disconnect():
                self._dispatch(connection, request, metadata, record)
            if record.status >= 400:
                outcome = outcomes.Outcome.FAILED
        except errors.MalformedRequestError as error:
            outcome, cause = outcomes.Outcome.NOT_RUN, error.code
            detail = str(error)
            record.status = error.status
            self._send_text(connection, error.status, detail)
        except errors.RefusedError as error:
            outcome, cause = outcomes.Outcome.NOT_RUN, error.reason
            record.status = error.status
            self._refusals.inc((error.reason,))
            self._send_text(
                connection, error.status, error.reason, error.retry_after
            )
        except errors.CallerLeftError:
            outcome, cause = outcomes.Outcome.LOST, 'caller_left'
            has_response = connection.response_started
        except errors.OutOfTimeError:
            outcome = self._answer_failure(
                connection, record, GATEWAY_TIMEOUT, 'out_of_time'
            )
            cause = 'out_of_time'
        except (errors.StoppingError, errors.OverBudgetError) as error:
            outcome = self._answer_failure(
                connection, record, GATEWAY_TIMEOUT, error.code
            )
            cause = error.code
        except errors.TargetError as error:
            cause, detail = error.code, str(error)
            outcome = self._answer_failure(
                connection, record, BAD_GATEWAY, error.code
            )
        except Exception as error:
            # The caller gets a final response whatever fails, and the process
            # goes on to serve others.
            LOG.exception('request_error')
            cause, detail = 'internal_error', repr(error)
            outcome = self._answer_failure(
                connection, record, BAD_GATEWAY, cause
            )
        if outcome is outcomes.Outcome.LOST:
            self._unanswered.record(connection, record, cause)
        if not has_response:
            self._answer_half_closed(connection, record)
        self._record_end(request, record, outcome, cause, detail)

    def _dispatch(
        self,
        connection: caller.CallerConnection,
        request: caller.Request,
        metadata: adapter.RequestMetadata,
        record: request_record.RequestRecord,
    ) -> None:
        admitted = admission.admit(self._process, request, metadata)
        route = admitted.route
        record.route, record.version = route.name, admitted.version
        record.team = admitted.team.name if admitted.team else ''
        record.rank = str(admitted.rank)
        permitted = candidates.permitted_regions(self._process, admitted)
        record.regions = ','.join(sorted(permitted or ()))
        timeout = route.timeout
        if metadata.timeout_seconds is not None:
            timeout = min(timeout, metadata.timeout_seconds)
        record.deadline = record.arrived_at + timeout
        self._process.retry_budget_for(route.shares[0].service).record_request(
            record.arrived_at
        )
        self._refuse_if_stopping(metadata, route, record, timeout)
        with gevent.Timeout(
            timeout,
            errors.OutOfTimeError(f'no response within {timeout:.3f} s'),
        ):
            if route.is_stream:
                generation.Generation(
                    self._process,
                    connection,
                    request,
                    metadata,
                    record,
                    admitted,
                ).serve()
            else:
                plain_request.PlainRequest(
                    self._process, request, metadata, record, admitted
                ).serve(connection)

    def _refuse_if_stopping(
        self,
        metadata: adapter.RequestMetadata,
        route: objects.Route,
        record: request_record.RequestRecord,
        timeout: float,
    ) -> None:
        """Refuse a request that might be cut off when the process exits."""
        process = self._process
        if process.shutdown is None:
            return
        seconds = route.latency_objective
        if route.is_stream:
            seconds = stopping.generation_seconds(
                engine_load.worst_case_output_tokens(
                    metadata.length_hint, metadata.max_output_tokens
                )
            )
        is_accepted = not process.is_closing and process.shutdown.accepts(
            record.arrived_at,
            expected_seconds=seconds,
            seconds_to_deadline=timeout,
            may_repeat=(
                route.retry_mode is not objects.RetryMode.AT_MOST_ONCE
            ),
        )
        if not is_accepted:
            raise errors.RefusedError(503, 'stopping', STOPPING_RETRY_SECONDS)

    def _answer_failure(
        self,
        connection: caller.CallerConnection,
        record: request_record.RequestRecord,
        status: int,
        cause: str,
    ) -> outcomes.Outcome:
        """Respond to a request without a reply; return its outcome."""
        if connection.response_started:
            return outcomes.Outcome.LOST
        if not record.possible_executions:
            record.status = 503
            self._refusals.inc((cause,))
            self._send_text(connection, 503, cause, 0.1)
            return outcomes.Outcome.NOT_RUN
        record.status = status
        self._send_text(connection, status, cause)
        return outcomes.Outcome.UNKNOWN

    def _answer_half_closed(
        self,
        connection: caller.CallerConnection,
        record: request_record.RequestRecord,
    ) -> None:
        """Tell a caller that has closed its side, and may read, the outcome.

        Most have left, so the request counts as unanswered in any case.
        """
        status = BAD_GATEWAY if record.possible_executions else 503
        with contextlib.suppress(
            errors.CallerLeftError,
            errors.OverBudgetError,
            h11.LocalProtocolError,
        ):
            connection.send_response(
                status,
                [(b'Content-Type', b'text/plain')],
                errors.CallerLeftError.code.encode() + b'\n',
                close=True,
            )

    def _send_text(
        self,
        connection: caller.CallerConnection,
        status: int,
        reason: str,
        retry_after: float | None = None,
        *,
        close: bool = False,
    ) -> None:
        if connection.response_started:
            return
        headers = [(b'Content-Type', b'text/plain')]
        if retry_after is not None:
            headers.append((b'Retry-After', f'{retry_after:.2f}'.encode()))
        body = reason.encode() + b'\n'
        try:
            try:
                connection.send_response(status, headers, body, close=close)
            except h11.LocalProtocolError:
                LOG.exception('response_refused')
                connection.send_bare_response(status)
        except (errors.CallerLeftError, errors.OverBudgetError) as error:
            LOG.debug('refusal_not_sent', extra={'detail': str(error)})
            self._unanswered.record(connection, None, error.code)

    def _record_end(
        self,
        request: caller.Request,
        record: request_record.RequestRecord,
        outcome: outcomes.Outcome,
        cause: str,
        detail: str,
    ) -> None:
        process = self._process
        now = process.clock.monotonic()
        seconds = now - record.arrived_at
        self._durations.record(seconds)
        self._requests.inc((str(outcome), str(record.status)))
        LOG.info(
            'request_ended',
            extra={
                'request': record.request_id,
                'route': record.route,
                'path': '' if record.route else request.path,
                'team': record.team,
                'rank': record.rank,
                'regions': record.regions,
                'outcome': str(outcome),
                'status': record.status,
                'cause': cause,
                'detail': detail,
                'targets': ','.join(record.target_ids),
                'sends': record.attempts,
                'runs': record.possible_executions,
                'events': record.events,
                'moves': record.resumptions,
                'first_event': _elapsed(
                    record.arrived_at, record.first_event_at
                ),
                'seconds': round(seconds, 3),
                'version': record.version,
                'age': round(process.freshness.age(now), 2),
            },
        )


def _elapsed(start: float, moment: float | None) -> float | None:
    return None if moment is None else round(moment - start, 3)
