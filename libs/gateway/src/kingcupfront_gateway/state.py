"""The state dump of a gateway process, for operators."""

import typing

from kingcupfront_gateway import gateway
from kingcupfront_gateway import targets


def dump(process: gateway.Gateway) -> dict[str, typing.Any]:
    """Return the state of a process, without secrets."""
    now = process.clock.monotonic()
    configuration = process.configuration
    return {
        'instance': process.settings.instance,
        'place': process.settings.zone,
        'is_ready': process.is_ready,
        'is_stopping': process.is_stopping,
        'version': configuration.version if configuration else None,
        'directory_source': process.directory_source,
        'directory_era': process.listing.era,
        'directory_revision': process.listing.revision,
        'age_seconds': round(process.freshness.age(now), 3),
        'blocked_prompt_parts': [
            sorted(group) for group in process.crash_evidence.blocked_groups
        ],
        'evacuated_zones': process.evacuations.revisions_by_zone,
        'unusable_regions': process.unusable_regions(),
        'callers': process.caller_budget.as_dict(),
        'software_versions': process.targets.versions.as_dict(),
        'stream_origins': len(process.stream_origins),
        'active_requests': len(process.active_requests),
        'waiting_generations': process.waiting.total,
        'demand': process.demand.summary(now),
        'targets': {
            target_id: _dump_target(state, now)
            for target_id, state in process.targets.by_id.items()
        },
        'metrics': process.metrics.as_dict(),
    }


def _dump_target(
    state: targets.TargetState, now: float
) -> dict[str, typing.Any]:
    fields = {
        'service': state.target.service,
        'address': str(state.target.address),
        'place': state.target.zone,
        'software_version': state.software_version,
        'is_leaving': state.is_leaving,
        'in_use': state.in_flight,
        'silent_seconds': round(max(0.0, state.silent_until - now), 3),
        'cold_seconds': round(max(0.0, state.signs.cold_until - now), 3),
        'failure_share': round(state.failure_share, 3),
    }
    if state.load is not None:
        fields |= state.load.summary(now)
    return fields
