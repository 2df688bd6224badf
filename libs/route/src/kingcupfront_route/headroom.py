"""Estimates of how much room a target has now."""

import typing

from kingcupfront_route import policy_context
from kingcupfront_route import target as targets

MAX_REPORT_AGE_SECONDS = 10.0


class Headroom(typing.NamedTuple):
    """The estimated load and room of a target.

    :param free_blocks: estimated free blocks of KV cache.
    :param total_blocks: all blocks of KV cache.
    :param requests: estimated requests on the target, waiting ones included.
    :param waiting_requests: requests that waited when it reported.
    :param own_blocks: blocks that this entry's requests have taken since the
        report was measured, less those freed.
    """

    free_blocks: float
    total_blocks: float
    requests: float
    waiting_requests: int
    own_blocks: float


def estimate(
    target: targets.Target,
    context: policy_context.PolicyContext,
    now: float,
    *,
    target_count: int,
    count_other_entries: bool,
) -> Headroom | None:
    """Return a target's headroom, or None without a usable load report.

    The report is corrected by the entry's own load changes since it was
    measured. On request it is also corrected by what the other entries have
    probably sent: each is assumed to send as much as this one, spread evenly
    over the targets.

    :param target: the target.
    :param context: the entry's context.
    :param now: the monotonic time in seconds.
    :param target_count: the number of usable targets of the service.
    :param count_other_entries: whether to allow for the other entries.
    """
    report = target.report
    if report is None or not report.total_blocks or not report.is_plausible:
        return None
    age = now - report.measured_at
    if age > MAX_REPORT_AGE_SECONDS:
        return None
    own = target.ledger.sum_since(report.measured_at)
    free_blocks = report.free_blocks - own.blocks
    requests = report.running + report.waiting + own.requests
    block_rate = context.block_rates_by_service.get(target.service)
    if count_other_entries and block_rate is not None:
        others_rate = (
            (context.entries - 1) * block_rate.per_second(now) / target_count
        )
        free_blocks -= others_rate * age
    return Headroom(
        free_blocks, report.total_blocks, requests, report.waiting, own.blocks
    )
