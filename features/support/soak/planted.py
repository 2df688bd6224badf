"""Faults planted into the program, to prove that the soak sees them.

``python -m features.support.soak.planted NAME`` runs a gateway with one of
its decisions broken. The product itself has no switch for this.
"""

import os

from features.support.soak import records
from kingcupfront_core import registry

faults = registry.Registry('planted fault')
# What a run must have seen before it ends, where a fault shows only in some
# requests.
occasions = registry.Registry('occasion of a planted fault')
MODULE = 'features.support.soak.planted'
JUDGED_REQUESTS = 3
# So many that some came to the gateway of each zone.
REGIONAL_REQUESTS = 12
# A gateway that does nothing else reads it in some ten seconds.
MANY_CHUNKS = records.Message(
    b'x' * 2_400_000,
    b'1\r\nx\r\n' * 2_400_000 + b'0\r\n\r\n',
    (('Transfer-Encoding', 'chunked'),),
)

# What has to strike for a planted fault to show.
TRIGGERS = {
    'at most once': ('lost answers',) * 2,
    'not run is true': ('lost answers',) * 2,
    'own whole answers': ('crossed answers',) * 2,
    'events once and in order': ('skipped events',) * 2,
    'keys': ('key goes during a cut',),
    'nothing allowed is denied': ('store path',),
    'leaving targets': ('target lingers',) * 4,
    'configuration in force': ('route moves once',),
    'configuration never reverts': ('route moves once',),
    'permitted regions': (),
    'evacuated zones': ('zone is evacuated',),
    'graceful stops': ('stop', 'stop'),
    'shared retry budget': ('plain targets shed',) * 3,
    # Few requests meet a silent answer, so there are several.
    'final answers in time': ('silent answers',) * 8,
    'nothing works for callers that left': (),
    'one engine at a time': ('stalled engines',) * 3
    + ('sound engines fall silent',) * 2,
    'crashing prompts': ('prompts that crash engines',),
    'sound prompts are not blocked': ('prompts that crash engines',),
    'leaving by a reply': ('target says that it leaves',) * 3,
    'silent targets': ('service asks for silence',) * 2,
    'early answers': ('early answers',) * 2,
    'unframed streams': ('unframed engine leaves',) * 3,
    'given up before it is taken over': ('sound engines fall silent',) * 3,
    # Steps that carry a stream on without the question for the version.
    'restarted by another version': ('release', *('skipped events',) * 8),
    'backed up by another version': ('release', *('skipped events',) * 4),
    'moved to another version': ('release',) * 3,
    # Silences of faults that overlap add up to more than three seconds: a
    # silent engine that says that it works keeps its streams for two.
    'copy sent to another version': ('engines change their version in place',)
    * 8,
    'taken up by another version': (
        'release',
        *('callers lose connections',) * 2,
        'part of the gateways is killed',
    ),
    'refused to be taken up': (
        'release',
        *('callers lose connections',) * 3,
    ),
    'service not listed': ('service goes and comes back',) * 2,
    'small chunks': ('chunks of one byte',),
    'eras of the store': ('store is restored',) * 2,
    'cold targets': ('service starts cold',) * 2,
    'recovery': ('store fault', 'store path', 'store path'),
}


def plan(name, seconds):
    """Return a schedule that makes a planted fault show."""
    triggers = TRIGGERS[name]
    return [
        (0.5 + n * seconds / 3 / len(triggers), trigger, n)
        for n, trigger in enumerate(triggers)
    ]


def occasion(name):
    """Return what tells whether a planted fault could show, or None."""
    return occasions.get(name) if name in occasions else None


@occasions.register('configuration in force')
def moved_route_is_used(site):
    """Return whether requests that can be judged came after the route moved.

    Processes that start late and delays of the soak leave none in a short
    run on a busy machine.
    """
    from features.support.soak import world

    if len(site.ledger.configurations) == 1:
        return False
    in_force_at = site.ledger.configurations[-1][0] + world.APPLY_SECONDS
    judged = [
        attempt
        for attempt in site.ledger.attempts_by_id.values()
        if attempt.route == world.MOVING_ROUTE
        and attempt.sent_at > in_force_at
        and attempt.ended_at
        and site.ledger.runs_by_id.get(attempt.id)
        and site.ledger.is_calm(
            (attempt.gateway, 'store', 'all'),
            attempt.sent_at - world.CONTACT_SECONDS,
            attempt.ended_at,
        )
    ]
    return len(judged) >= JUDGED_REQUESTS


@occasions.register('permitted regions')
def regional_requests_ran(site):
    """Return whether requests of the regional route were answered."""
    from features.support.soak import world

    answered = [
        attempt
        for attempt in site.ledger.attempts_by_id.values()
        if attempt.route == world.REGIONAL_ROUTE and attempt.status == 200
    ]
    return len(answered) >= REGIONAL_REQUESTS


@occasions.register('evacuated zones')
def requests_came_meanwhile(site):
    """Return whether requests can be judged that came in an evacuation."""
    from features.support.soak import checks

    judged = list(checks.evacuated_zones(site))
    return len(judged) >= JUDGED_REQUESTS


@occasions.register('final answers in time')
def deadlines_were_met(site):
    """Return whether requests can be judged that nobody answered in time.

    Targets are silent again until then. Requests that run once are not sent
    on, so they wait until their deadline.
    """
    import gevent

    from features.support.soak import checks
    from features.support.soak import faults as strikes

    judged = [
        attempt
        for attempt in site.ledger.attempts_by_id.values()
        if attempt.route == 'once'
        and attempt.id in site.ledger.spoiled_ids
        and attempt.ended_at
        and not attempt.left_at
        and attempt.ended_at - attempt.sent_at
        > attempt.seconds - checks.LATE_SECONDS
        and checks._in_touch(site, attempt)
    ]
    if len(judged) >= JUDGED_REQUESTS:
        return True
    if not any(target.faults for target in site.live('plain')):
        gevent.spawn(strikes.faults.get('silent answers'), site, None)
    return False


def program(name):
    """Return the arguments of the interpreter for a planted fault."""
    faults.get(name)
    return ('-m', MODULE, name)


@faults.register('at most once')
def repeat_all():
    from kingcupfront_gateway import plain_request

    plain_request.PlainRequest._raise_unless_retryable = lambda *_: None


@faults.register('not run is true')
def refuse_what_ran():
    from kingcupfront_gateway import server

    server.BAD_GATEWAY = server.GATEWAY_TIMEOUT = 503


@faults.register('own whole answers')
def trust_all_replies():
    from kingcupfront_gateway import exchange

    def read(process, link, request, ask, patience, more_time):
        head = link.read_head(patience)
        facts = process.platform.read_reply(head.status, head.headers)
        return exchange.Reply(head.status, head.headers, facts, link)

    exchange._read_matching_head = read


@faults.register('events once and in order')
def pass_all_events():
    from kingcupfront_gateway import progress

    def accept(self, block, tokens, now):
        self.last_event_id = block.id
        self.last_event_at = now
        self.engine_first_event_at = self.engine_first_event_at or now
        return True

    progress.Progress.accept = accept


@faults.register('keys')
def trust_keys():
    from kingcupfront_gateway import freshness

    freshness.Freshness.can_trust_keys = lambda *_: True


@faults.register('nothing allowed is denied')
def deny_in_the_dark():
    from kingcupfront_gateway import admission
    from kingcupfront_gateway import errors

    def admit(process, request, ask):
        if process.freshness.age(process.clock.monotonic()) > 1.0:
            raise errors.RefusedError(401, 'unknown_key')
        return sound(process, request, ask)

    sound = admission.admit
    admission.admit = admit


@faults.register('leaving targets')
def use_leaving():
    from kingcupfront_gateway import targets

    targets.TargetState.is_leaving = property(lambda self: False)
    targets.Targets._remove = lambda self, target_id: None


@faults.register('configuration in force')
def keep_the_first():
    from kingcupfront_gateway import gateway

    sound = gateway.Gateway.apply_configuration

    def use(self, configuration):
        return self.configuration is None and sound(self, configuration)

    gateway.Gateway.apply_configuration = use


@faults.register('configuration never reverts')
def go_back():
    from kingcupfront_gateway import gateway

    sound = gateway.Gateway.apply_configuration

    def use(self, configuration):
        before = self.configuration
        used = sound(self, configuration)
        if before is not None:
            import gevent

            # Long enough for the new one to be seen in use on a busy machine.
            gevent.spawn_later(2.0, setattr, self, 'configuration', before)
        return used

    gateway.Gateway.apply_configuration = use


@faults.register('permitted regions')
def ignore_regions():
    from kingcupfront_decisions import regions

    regions.permits = lambda regions, region: True


@faults.register('evacuated zones')
def ignore_evacuations():
    from kingcupfront_decisions import evacuations

    evacuations.Evacuations.__contains__ = lambda self, zone: False


@faults.register('graceful stops')
def stop_at_once():
    from kingcupfront_gateway import draining

    draining.drain = lambda *_: None


@faults.register('shared retry budget')
def repeat_without_bound():
    from kingcupfront_gateway import plain_request
    from kingcupfront_gateway import retry_budget

    retry_budget.RetryBudget.try_acquire = lambda *_: True
    plain_request.MAX_ATTEMPTS = 60


@faults.register('final answers in time')
def wait_for_ever():
    from kingcupfront_gateway import request_record
    from kingcupfront_gateway import server

    class NoTimeout(server.gevent.Timeout):
        def __init__(self, seconds, *arguments):
            super().__init__(seconds + 2.0, *arguments)

    class Gevent:
        Timeout = NoTimeout
        spawn = staticmethod(server.gevent.spawn)
        getcurrent = staticmethod(server.gevent.getcurrent)

    server.gevent = Gevent
    sound = request_record.RequestRecord.seconds_left
    request_record.RequestRecord.seconds_left = lambda self, now: (
        sound(self, now) + 2.0
    )


@faults.register('nothing works for callers that left')
def ignore_leaving():
    import contextlib

    from kingcupfront_gateway import caller

    caller.CallerConnection.cancel_on_disconnect = lambda self: (
        contextlib.nullcontext()
    )
    caller.CallerConnection._send_bytes = lambda self, data: _try(
        self._sock, data
    )


def _try(sock, data):
    import contextlib

    with contextlib.suppress(OSError):
        sock.sendall(data)


@faults.register('one engine at a time')
def keep_the_earlier():
    from kingcupfront_gateway import upstream

    kept = []
    upstream.UpstreamConnection.close = lambda self: kept.append(self)


@faults.register('crashing prompts')
def keep_crashing():
    from kingcupfront_gateway import prompt_guard

    prompt_guard.PromptGuard.refuse_if_blocked = lambda self, is_sending: None


@faults.register('sound prompts are not blocked')
def block_all_parts():
    from kingcupfront_gateway import culprits

    culprits.find = lambda records_by_part, now: frozenset(
        frozenset([part]) for part in records_by_part
    )


@faults.register('leaving by a reply')
def overlook_leaving():
    _change_signs(is_leaving=False)


@faults.register('silent targets')
def overlook_silence():
    _change_signs(silence_seconds=None)


def _change_signs(**changes):
    import dataclasses

    from kingcupfront_gateway import target_signs

    sound = target_signs.apply
    target_signs.apply = lambda process, state, reply, request_id: sound(
        process, state, dataclasses.replace(reply, **changes), request_id
    )


@faults.register('recovery')
def never_come_back():
    from kingcupfront_gateway import directory

    sound = directory.DirectorySync._record_failure

    def lose(self, error):
        import gevent

        sound(self, error)
        gevent.sleep(1000)

    directory.DirectorySync._record_failure = lose


@faults.register('eras of the store')
def overlook_eras():
    """Order views by revision alone."""
    from kingcupfront_gateway import adapter
    from kingcupfront_platform import dialect

    dialect.PlatformAdapter.read_era = lambda *_: adapter.DirectoryEra(None)


@faults.register('cold targets')
def overlook_cold():
    from kingcupfront_gateway import warmth

    warmth.is_bounded = lambda state: False


@faults.register('early answers')
def use_half_written():
    """Take a request as written although a time-out ended its write."""
    from kingcupfront_gateway import upstream

    sound = upstream.UpstreamConnection._write

    def write(self, parts, timeout):
        # Part of the caller's time, so that an answer can still be read.
        return sound(self, parts, timeout / 2)

    upstream.UpstreamConnection._write = write
    upstream.MAX_BLOCKING_WRITE_BYTES = float('inf')
    upstream.UpstreamConnection._is_request_written = property(
        lambda self: True, lambda self, value: None
    )


@faults.register('unframed streams')
def trust_ends():
    """Take a stream that ends between events as complete."""
    from kingcupfront_gateway import errors
    from kingcupfront_gateway import stream_end

    def raise_unless_complete(end, engine_is_down):
        if not end.is_between_events:
            raise errors.BrokenReplyError('stream ended within an event')

    stream_end.raise_unless_complete = raise_unless_complete


@faults.register('given up before it is taken over')
def give_up_early():
    """Leave an engine before another one has accepted the generation."""
    from kingcupfront_gateway import failover

    def take_over(self, current, reply):
        return self._context.backup is not None

    failover.Failover.take_over = take_over


def _skip_version(*modules):
    """Let some modules use targets of any software version."""
    import types

    from kingcupfront_gateway import candidates

    def for_request(process, admitted, service, now, begun=None):
        return candidates.for_request(process, admitted, service, now)

    def raise_if_forbidden(process, admitted, state, begun=None):
        candidates.raise_if_forbidden(process, admitted, state)

    for module in modules:
        module.candidates = types.SimpleNamespace(
            **vars(candidates)
            | {
                'for_request': for_request,
                'raise_if_forbidden': raise_if_forbidden,
                'may_carry_on': lambda begun, state: True,
            }
        )


def _continue_anywhere():
    """Use copies at engines of any version, also at the send."""
    from kingcupfront_gateway import exchange
    from kingcupfront_gateway import generation_planner

    _skip_version(exchange)
    generation_planner.GenerationPlanner._may_continue_at = (
        lambda self, state: not state.is_leaving
    )


def _choose_near(*, for_moves):
    """Choose engines of any version for backups, or for moves."""
    from kingcupfront_gateway import reports

    sound, asking = reports.nearby_engines, reports.candidates
    _skip_version(reports)
    any_version = reports.candidates

    def nearby_engines(*arguments, in_region=False):
        # Nothing else runs until the candidates are listed.
        is_skipped = in_region == for_moves
        reports.candidates = any_version if is_skipped else asking
        return sound(*arguments, in_region=in_region)

    reports.nearby_engines = nearby_engines


@faults.register('restarted by another version')
def restart_anywhere():
    from kingcupfront_gateway import exchange
    from kingcupfront_gateway import generation_planner

    _skip_version(exchange, generation_planner)


@faults.register('backed up by another version')
def back_up_anywhere():
    from kingcupfront_gateway import event_forwarder

    _choose_near(for_moves=False)
    _skip_version(event_forwarder)
    _continue_anywhere()


@faults.register('moved to another version')
def move_anywhere():
    from kingcupfront_gateway import migration

    _choose_near(for_moves=True)
    _skip_version(migration)
    _continue_anywhere()


def _ask_for_no_start():
    """Neither ask engines whether they have started again nor take notice."""
    from kingcupfront_gateway import exchange
    from kingcupfront_gateway import migration
    from kingcupfront_gateway import reports

    reports._record_replacement = lambda *_: None
    exchange._ask_for_start = lambda *_: None
    migration.Migration._has_told_start = lambda *_: True


@faults.register('copy sent to another version')
def send_copy_anywhere():
    """Ask for the version as a backup is chosen and not as it is used."""
    from kingcupfront_gateway import event_forwarder

    _skip_version(event_forwarder)
    _continue_anywhere()
    _ask_for_no_start()


@faults.register('taken up by another version')
def take_up_anywhere():
    """Take any listed version as that of a stream."""
    from kingcupfront_decisions import software_versions
    from kingcupfront_gateway import stream_origins

    def find(process, metadata, route):
        services = {share.service for share in route.shares}
        versions = [
            state.software_version
            for state in process.targets.by_id.values()
            if state.target.service in services and not state.is_leaving
        ]
        return software_versions.Begun(process.rng.choice(versions))

    stream_origins.find = find


@faults.register('refused to be taken up')
def refuse_to_take_up():
    """Neither tell other gateways how streams began nor ask them."""
    from kingcupfront_gateway import origin_answers
    from kingcupfront_gateway import origin_exchange

    exchange = origin_exchange.OriginExchange
    exchange.publish = lambda *_: None
    exchange.publish_earlier = lambda self: None
    exchange.ask = lambda *_: origin_answers.Answers()


@occasions.register('small chunks')
def chunks_hold_up(site):
    """Return whether a caller that stayed has sent a body of small chunks.

    One more is sent until then. It takes several times as long to read as two
    health checks in a row may fail to be answered.
    """
    sent = [
        attempt
        for attempt in site.ledger.attempts_by_id.values()
        if attempt.message is MANY_CHUNKS
    ]
    if any(a.ended_at and a.left_at is None for a in sent):
        return True
    if not site.unusual and all(a.ended_at for a in sent):
        site.unusual.append(MANY_CHUNKS)
    return False


@faults.register('service not listed')
def drop_load():
    """Drop the load of engines whose service is not listed."""
    from kingcupfront_gateway import targets

    sound = targets.Targets.set_services

    def set_services(self, services_by_name):
        sound(self, services_by_name)
        for state in self.by_id.values():
            if state.target.service not in services_by_name:
                state.load = None

    targets.Targets.set_services = set_services


@faults.register('small chunks')
def hold_up():
    """Parse all bytes at hand without a switch of tasks."""
    import types

    from kingcupfront_gateway import caller

    counter = types.SimpleNamespace(count=lambda *_: None)
    caller.switching_socket = types.SimpleNamespace(
        EventCounter=lambda: counter,
        ByteCounter=lambda: counter,
        switch_tasks=lambda: None,
    )


def main(name):
    """Run a gateway with a planted fault."""
    import runpy

    os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
    from gevent import monkey

    monkey.patch_all()
    faults.get(name)()
    runpy.run_module('kingcupfront_platform', run_name='__main__')


if __name__ == '__main__':
    import sys

    from features.support.soak import planted

    planted.main(sys.argv[1])
