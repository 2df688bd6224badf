"""Applies the operator's evacuations of data centres, as the directory lists
them, to a process.
"""

from collections.abc import Sequence
import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import gateway
from kingcupfront_gateway import listing
from kingcupfront_gateway import warmth

LOG = logging.getLogger(__name__)


def replace_all(
    process: gateway.Gateway,
    entries: Sequence[listing.Entry],
    decoded: Sequence[adapter.DirectoryChange | None],
    revision: int,
) -> None:
    """Replace the evacuated data centres by those of a full list.

    :param decoded: what each entry means.
    :param revision: the revision of the list.
    """
    revisions_by_zone = {
        change.evacuated_zone: entry.revision
        for entry, change in zip(entries, decoded, strict=True)
        if change is not None and change.evacuated_zone is not None
    }
    for zone, started_at in revisions_by_zone.items():
        _start(process, zone, started_at)
    now = process.clock.monotonic()
    for zone in process.evacuations.missing(revisions_by_zone, now):
        _end(process, zone, revision)


def apply(
    process: gateway.Gateway, change: adapter.DirectoryChange, revision: int
) -> None:
    """Apply the start or the end of one evacuation."""
    if change.is_evacuation_over:
        _end(process, change.evacuated_zone, revision)
    else:
        _start(process, change.evacuated_zone, revision)


def end_expired(process: gateway.Gateway, now: float) -> None:
    """End the evacuations that a restored directory no longer lists."""
    for zone in process.evacuations.expired(now):
        _end(process, zone, process.listing.revision)


def _start(process: gateway.Gateway, zone: str, revision: int) -> None:
    if not process.evacuations.start(zone, revision):
        return
    LOG.warning('zone_evacuated', extra={'place': zone, 'revision': revision})
    if process.region_of(zone) is None:
        LOG.warning(
            'evacuation_unknown_zone',
            extra={'place': zone, 'revision': revision},
        )
    process.targets.notify()


def _end(process: gateway.Gateway, zone: str, revision: int) -> None:
    if process.evacuations.end(zone):
        LOG.warning(
            'evacuation_ended', extra={'place': zone, 'revision': revision}
        )
        warmth.record_zone_cold(process, zone)
        process.targets.notify()
