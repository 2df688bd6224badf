"""Rules about limits that cannot be met and objects that do nothing."""

import collections
from collections.abc import Iterator
import json

from kingcupfront_config import manifest
from kingcupfront_config import objects
from kingcupfront_config import problem
from kingcupfront_config import rules

ROUND_TRIP = 2


@rules.limits.register('routing')
def _routings(context: rules.Rules) -> Iterator[problem.Problem]:
    for row in context.valid('policy'):
        if context.routings and row.item.routing not in context.routings:
            yield row.entry.problem(
                ('routing',),
                'unknown_routing',
                f'no such routing policy: {row.item.routing!r}',
                problem.did_you_mean(row.item.routing, context.routings),
            )


@rules.limits.register('deadline')
def _deadlines(context: rules.Rules) -> Iterator[problem.Problem]:
    slowest = _slowest_round_trip(context)
    limits_by_kind = {
        'policy': 'first_token_seconds',
        'service': 'timeout_seconds',
    }
    for kind, field in limits_by_kind.items():
        for row in context.valid(kind):
            value = getattr(row.item, field)
            if value <= slowest:
                yield row.entry.problem(
                    (field,),
                    'impossible_limit',
                    f'{value:g} s is not above the slowest round trip '
                    f'between places, {slowest:g} s',
                )


def _slowest_round_trip(context: rules.Rules) -> float:
    latencies = [
        seconds
        for row in context.valid('place')
        for seconds in row.item.latency_seconds_by_place.values()
    ]
    return ROUND_TRIP * max(latencies, default=0.0)


@rules.limits.register('latency')
def _latencies(context: rules.Rules) -> Iterator[problem.Problem]:
    for row in context.valid('place'):
        if row.item.name in row.item.latency_seconds_by_place:
            yield row.entry.problem(
                ('latency_seconds_by_place', row.item.name),
                'impossible',
                'a place has no latency to itself',
            )


@rules.limits.register('queue')
def _queues(context: rules.Rules) -> Iterator[problem.Problem]:
    policies = objects.ObjectSet(
        revision=1,
        based_on=0,
        objects=tuple(row.item for row in context.valid('policy')),
    ).by_name('policy')
    for row in context.valid('service'):
        policy = policies.get(row.item.policy)
        if policy is None or row.item.type != 'plain':
            continue
        if policy.first_token_seconds >= row.item.timeout_seconds:
            yield row.entry.problem(
                ('timeout_seconds',),
                'impossible_limit',
                f'a call may wait {policy.first_token_seconds:g} s for a '
                f'target but ends after {row.item.timeout_seconds:g} s',
                f'see "first_token_seconds" of policy {policy.name!r}',
            )


@rules.limits.register('roles')
def _roles(context: rules.Rules) -> Iterator[problem.Problem]:
    for row in context.valid('service'):
        counts = row.item.engines_by_role
        if counts and row.item.type == 'plain':
            message = 'a plain service has no engine roles'
        elif bool(counts.get('prefill')) != bool(counts.get('decode')):
            message = 'the roles "prefill" and "decode" need one another'
        elif counts and not sum(counts.values()):
            message = 'no engine is left for this service'
        else:
            continue
        yield row.entry.problem(
            ('engines_by_role',), 'impossible_limit', message
        )


@rules.limits.register('team')
def _teams(context: rules.Rules) -> Iterator[problem.Problem]:
    for row in context.valid('team'):
        item: objects.Team = row.item
        rate, bound = item.tokens_per_second, item.max_concurrent
        if rate is not None and bound is not None and rate < bound:
            yield row.entry.problem(
                ('tokens_per_second',),
                'impossible_limit',
                f'{rate:g} tokens a second are less than one for each of '
                f'{bound} requests in progress',
                'raise "tokens_per_second" or lower "max_concurrent"',
            )
        for field in ('key_hashes', 'services'):
            if not getattr(item, field):
                yield row.entry.problem(
                    (field,) if field in row.entry.value else (),
                    'unusable',
                    f'a team without {field!r} cannot call anything',
                )


@rules.limits.register('double_item')
def _double_items(context: rules.Rules) -> Iterator[problem.Problem]:
    for kind, field in (('team', 'services'), ('model', 'adapters')):
        for row in context.valid(kind):
            names = getattr(row.item, field)
            for name, count in collections.Counter(names).items():
                if count > 1:
                    path = (field, len(names) - 1 - names[::-1].index(name))
                    yield row.entry.problem(
                        path, 'duplicate_item', f'{name!r} is there twice'
                    )


@rules.limits.register('action')
def _actions(context: rules.Rules) -> Iterator[problem.Problem]:
    for row in context.valid('service'):
        actions = row.item.actions
        if actions and row.item.type == 'model':
            yield row.entry.problem(
                ('actions',), 'impossible', 'a model service has no actions'
            )
        for index, action in enumerate(actions):
            for earlier in actions[:index]:
                if earlier.method != action.method:
                    continue
                if action.path.startswith(earlier.path):
                    yield row.entry.problem(
                        ('actions', index, 'path'),
                        'unreachable_action',
                        f'{action.method} {action.path} never applies: '
                        f'{earlier.path} comes first',
                        'put the longer path first',
                    )
                    break


@rules.limits.register('unreachable_service')
def _unreachable_services(context: rules.Rules) -> Iterator[problem.Problem]:
    used = {
        name
        for row in context.names('team').values()
        for _, name in rules.named('services', row.entry.value.get('services'))
    }
    for name, row in context.names('service').items():
        if name not in used:
            yield row.entry.problem(
                (),
                'unreachable_service',
                'no team may use this service',
                'add its name to the services of a team',
            )


@rules.limits.register('size')
def _size(context: rules.Rules) -> Iterator[problem.Problem]:
    values = [row.entry.value for row in context.parsed]
    size = len(json.dumps(values).encode())
    if size > manifest.MAX_SET_BYTES:
        yield problem.Problem(
            context.parsed[0].entry.file,
            1,
            '',
            'too_large',
            f'the set has {size} bytes, the limit is {manifest.MAX_SET_BYTES}',
        )
