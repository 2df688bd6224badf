"""Rules that find limits which contradict one another."""

from collections.abc import Iterator
import dataclasses

from kingcupfront_gateway import configuration_draft
from kingcupfront_gateway import configuration_rules
from kingcupfront_gateway import objects

Draft = configuration_draft.Draft
Surroundings = configuration_draft.Surroundings
Found = Iterator[tuple[str, str]]
# What an engine needs to run a single generation.
POSITIVE_CAPACITIES = ('slots', 'memory_tokens', 'tokens_per_event')


@configuration_rules.rule('impossible_timeout')
def _impossible_timeouts(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        if not route.timeout > 0:
            yield (
                configuration_draft.route_subject(route),
                f'a time-out of {route.timeout:g} s',
            )


@configuration_rules.rule('timeout_below_objective')
def _timeouts_below_objective(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        if 0 < route.timeout < route.latency_objective:
            yield (
                configuration_draft.route_subject(route),
                f'the time-out of {route.timeout:g} s passes before the '
                f'objective of {route.latency_objective:g} s',
            )


@configuration_rules.rule('no_execution')
def _no_executions(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        if route.max_executions < 1:
            yield (
                configuration_draft.route_subject(route),
                f'{route.max_executions} executions allowed',
            )


@configuration_rules.rule('resume_without_execution')
def _resume_without_execution(draft: Draft, _: Surroundings) -> Found:
    for route in draft.routes:
        may_resume = route.retry_mode is objects.RetryMode.RESUMABLE
        if may_resume and route.max_executions == 1:
            yield (
                configuration_draft.route_subject(route),
                'streams may be resumed, but the one execution that is '
                'allowed is the first',
            )


@configuration_rules.rule('attempts_above_targets', 'targets')
def _attempts_above_targets(draft: Draft, around: Surroundings) -> Found:
    for route in draft.routes:
        services = {share.service for share in route.shares}
        count = sum(t.service in services for t in around.targets)
        if 0 < count < route.max_executions:
            yield (
                configuration_draft.route_subject(route),
                f'{route.max_executions} executions allowed, but its services '
                f'have {count} targets',
            )


@configuration_rules.rule('impossible_limit')
def _impossible_limits(draft: Draft, _: Surroundings) -> Found:
    for field, value in dataclasses.asdict(draft.limits).items():
        if not value > 0:
            yield 'limits', f'{field} is {value:g}'


@configuration_rules.rule('impossible_capacity')
def _impossible_capacities(draft: Draft, _: Surroundings) -> Found:
    for service in draft.services:
        for field in POSITIVE_CAPACITIES if service.engine else ():
            value = getattr(service.engine, field)
            if value < 1:
                yield f'service {service.name}', f'{field} is {value}'


@configuration_rules.rule('version_not_newer', 'in_force')
def _versions_not_newer(draft: Draft, around: Surroundings) -> Found:
    if draft.version <= around.in_force.version:
        yield (
            'version',
            f'gateways ignore version {draft.version}, as version '
            f'{around.in_force.version} is in force',
        )
