"""What stops must have met before a run of a planted fault ends."""

import collections

from features.support.soak import checks
from features.support.soak import lost
from features.support.soak import planted_stops
from features.support.soak import world
from kingcupfront_core import registry

occasions = registry.Registry('occasion of a planted fault of a stop')
# One stop alone has met as few as one.
JUDGED_REQUESTS = 4
# A process may exit so long before the end of its grace.
EXIT_SECONDS = 0.5


def is_met(fault, ledger, stops):
    """Return whether a planted fault, if any, could show."""
    if not fault:
        return True
    if fault not in occasions:
        return any(_is_calm(ledger, stop) for stop in stops)
    return occasions.get(fault)(ledger, stops) >= JUDGED_REQUESTS


def _is_calm(ledger, stop):
    """Return whether no trouble excuses what came in a stop and was cut.

    One delay of the soak in the stop may excuse all of that.
    """
    return ledger.is_calm(
        (stop.gateway, 'all'),
        stop.at - world.CONTACT_SECONDS,
        stop.at + stop.grace + lost.AFTER_GRACE_SECONDS,
    )


@occasions.register('everything is accepted late')
def late_requests(ledger, stops):
    return _count(ledger, stops, checks.FOREVER)


@occasions.register('the grace is counted late')
def late_requests_within(ledger, stops):
    """Count those whose deadline is before the end that the process awaits."""
    seconds = planted_stops.LATE_SECONDS
    return _count(ledger, stops, seconds)


def _count(ledger, stops, most_seconds):
    """Count the requests that came late in a stop and outlast its grace.

    :param most_seconds: how long after the grace their deadline may be.
    """
    works_by_attempt = collections.defaultdict(list)
    for work in ledger.works:
        works_by_attempt[work.attempt].append(work)
    return sum(
        _is_late(ledger, attempt, stop, most_seconds)
        and _is_at_work(works_by_attempt[attempt.id], stop)
        for attempt in list(ledger.attempts_by_id.values())
        for stop in stops
        if attempt.last_byte_at and attempt.ended_at
    )


def _is_late(ledger, attempt, stop, most_seconds):
    end = stop.at + stop.grace
    deadline = attempt.sent_at + attempt.seconds
    return (
        (attempt.gateway, attempt.pid) == (stop.gateway, stop.pid)
        and attempt.last_byte_at > stop.at + checks.STOP_NEW_SECONDS
        and end < deadline < end + most_seconds
        and ledger.is_calm(
            (attempt.gateway, 'all'),
            attempt.sent_at - world.CONTACT_SECONDS,
            end + lost.AFTER_GRACE_SECONDS,
        )
    )


def _is_at_work(works, stop):
    """Return whether a target works on a request as the process ends."""
    at = stop.at + stop.grace - EXIT_SECONDS
    return any((work.ended_at or checks.FOREVER) > at for work in works)
