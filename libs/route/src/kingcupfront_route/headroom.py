"""How much room a target likely has now."""

import typing

from kingcupfront_route import policy_context
from kingcupfront_route import target

STALE_SECONDS = 10.0


class Headroom(typing.NamedTuple):
    """A target's expected state.

    :param free: expected free blocks.
    :param total: all blocks.
    :param jobs: expected jobs, waiting ones included.
    :param waiting: jobs that waited when it reported.
    :param own: blocks that this entry took since it reported, less freed.
    """

    free: float
    total: float
    jobs: float
    waiting: int
    own: float


def estimate(
    item: target.Target,
    context: policy_context.PolicyContext,
    now: float,
    *,
    count: int,
    others: bool,
) -> Headroom | None:
    """Return a target's headroom, or None without a usable report.

    The report is corrected by the entry's own changes since it was measured
    and, if wished, by the likely sends of the other entries: each is
    expected to send as much as this one, spread evenly over the targets.

    :param item: the target.
    :param known: the entry's context.
    :param now: the monotonic time in seconds.
    :param count: the number of usable targets of the service.
    :param others: whether to allow for other entries' sends.
    """
    report = item.report
    if report is None or not report.total_blocks or not report.is_plausible:
        return None
    age = now - report.measured_at
    if age > STALE_SECONDS:
        return None
    own = item.ledger.since(report.measured_at)
    free = report.free_blocks - own.blocks
    jobs = report.running + report.waiting + own.jobs
    sends = context.block_rates_by_service.get(item.service)
    if others and sends is not None:
        share = (context.entries - 1) * sends.per_second(now) / count
        free -= share * age
    return Headroom(
        free, report.total_blocks, jobs, report.waiting, own.blocks
    )
