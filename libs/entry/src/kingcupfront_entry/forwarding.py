"""Forwards calls under idempotency keys to the entries that hold the keys."""

import dataclasses
import logging
import random

import gevent

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import claims
from kingcupfront_entry import messages
from kingcupfront_entry import owner
from kingcupfront_entry import state
from kingcupfront_entry import stopping
from kingcupfront_once import call
from kingcupfront_once import permit
from kingcupfront_peer import codec
from kingcupfront_peer import errors as peer_errors

LOG = logging.getLogger(__name__)
MESSAGE_KIND = 'forward'
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 1.0
ATTEMPT_TIMEOUT_SECONDS = 3.0


class Forwarder:
    """Runs calls under keys, here or at the entry that holds the key.

    Forwarding is idempotent, since the holder runs the call of a key once;
    so it is retried after a lost answer until the call times out.

    :param process: the state of the process.
    :param key_owner: runs calls under permits that this process issued.
    :param claim_coordinator: runs calls under callers' own keys.
    """

    def __init__(
        self,
        process: state.State,
        key_owner: owner.KeyOwner,
        claim_coordinator: claims.ClaimCoordinator,
    ) -> None:
        self._process = process
        self._key_owner = key_owner
        self._claim_coordinator = claim_coordinator
        self._permits = permit.PermitCodec(process.settings.secret_values)
        process.link.handlers.register(MESSAGE_KIND)(self._on_forward_request)

    def run(
        self, key: str, request: call.Call, first_use: bool
    ) -> call.Result:
        """Run a call under a key and return its result.

        :param key: the text of a permit or the caller's own key.
        :param request: the call.
        :param first_use: whether the caller states that it has not sent the
            key before. Only then can a call that reached no holder of the
            key be reported as not run.
        :raises BadKeyError: if the key is not valid.
        """
        # What is not a result yet waits for another submission or entry.
        with stopping.telling_whether_run(lambda: True):
            return self._run(key, request, first_use)

    def _run(
        self, key: str, request: call.Call, first_use: bool
    ) -> call.Result:
        if not permit.is_permit(key):
            result, peer = self._claim_coordinator.run(key, request)
            if peer is None:
                return _apply_first_use(result, first_use)
            return self._forward(peer, key, request, first_use=False)
        presented_permit = self._permits.decode(key, request.team)
        if self._key_owner.owns(presented_permit):
            return self._key_owner.run(presented_permit, request)
        return self._forward(presented_permit.peer, key, request, first_use)

    def _forward(
        self,
        peer: address.Address,
        key: str,
        request: call.Call,
        first_use: bool,
    ) -> call.Result:
        wait_seconds = request.timeout_seconds + ANSWER_MARGIN_SECONDS
        self._process.check_time_left(wait_seconds)
        body = messages.encode_call(key, request)
        clock = self._process.clock
        deadline = clock.monotonic() + wait_seconds
        backoff_seconds = FIRST_BACKOFF_SECONDS
        sent = False
        while True:
            seconds_left = deadline - clock.monotonic()
            try:
                answer = self._process.link.call(
                    peer,
                    MESSAGE_KIND,
                    body,
                    min(seconds_left, ATTEMPT_TIMEOUT_SECONDS),
                )
                result = messages.decode_result(answer)
                return _apply_first_use(result, first_use and not sent)
            except (peer_errors.PeerError, peer_errors.FrameError) as error:
                sent = sent or getattr(error, 'sent', True)
                owner_gone = isinstance(
                    error.__cause__, ConnectionRefusedError
                )
                reason = str(error)
            delay_seconds = random.uniform(0, backoff_seconds)
            if owner_gone or deadline - clock.monotonic() - delay_seconds <= 0:
                return _unreachable_result(sent, first_use, owner_gone, reason)
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
            gevent.sleep(delay_seconds)

    def _on_forward_request(self, message: codec.Message) -> bytes:
        key, request = messages.decode_call(message.body)
        try:
            if permit.is_permit(key):
                presented_permit = self._permits.decode(key, request.team)
                result = self._key_owner.run(presented_permit, request)
            else:
                result, _ = self._claim_coordinator.run(key, request)
        except core_errors.KingcupfrontError as error:
            result = messages.failure_result(error)
        return messages.encode_result(result)


def _apply_first_use(result: call.Result, first_use: bool) -> call.Result:
    if first_use and result.code in ('owner_gone', 'not_claimed'):
        return dataclasses.replace(result, outcome=outcomes.Outcome.NOT_RUN)
    return result


def _unreachable_result(
    sent: bool, first_use: bool, owner_gone: bool, reason: str
) -> call.Result:
    outcome = outcomes.Outcome.UNKNOWN
    if first_use and not sent:
        outcome = outcomes.Outcome.NOT_RUN
    code = 'owner_gone' if owner_gone else 'owner_unreachable'
    return call.Result(outcome, code=code, reason=reason)
