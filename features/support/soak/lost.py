"""Judges, by the platform's rule, which requests were lost around stops."""

import dataclasses

from features.support import platform_site
from features.support.soak import checks
from features.support.soak import records
from features.support.soak import world

# After the grace a cut still counts as one of the stop.
AFTER_GRACE_SECONDS = 1.0
LOST = 'LOST'


@dataclasses.dataclass(frozen=True)
class Stop:
    """A SIGTERM of a process and the grace until SIGKILL, in seconds."""

    gateway: str
    pid: int
    at: float
    grace: float

    def covers(self, attempt):
        """Return whether a request of this process ended around the stop."""
        end = self.at + self.grace + AFTER_GRACE_SECONDS
        is_own = (attempt.gateway, attempt.pid) == (self.gateway, self.pid)
        return is_own and self.at <= attempt.ended_at <= end


@dataclasses.dataclass(frozen=True)
class Cut:
    """A request without a complete answer; ``why`` is LOST or an excuse."""

    attempt: records.Attempt
    works: list
    stop: Stop | None
    why: str

    def __str__(self):
        attempt = self.attempt
        origin = self.stop.at if self.stop else attempt.sent_at
        events = len(platform_site.numbers(attempt.body))
        spans = [
            f'{work.target}[{_since(origin, work.began_at)}'
            f'{_since(origin, work.ended_at)}]'
            for work in self.works
        ]
        return (
            f'{self.why}: {attempt.id} {attempt.route} at {attempt.gateway} '
            f'grace {self.stop.grace if self.stop else "-"} '
            f'sent {_since(origin, attempt.sent_at)} '
            f'last byte {_since(origin, attempt.last_byte_at)} '
            f'ended {_since(origin, attempt.ended_at)} deadline '
            f'{_since(origin, attempt.sent_at + attempt.seconds)} '
            f'status {attempt.status} events {events}/{attempt.wanted} '
            f'bytes {len(attempt.body)} targets {" ".join(spans) or "none"}'
        )


def _since(origin, moment):
    return '(never)' if moment is None else f'{moment - origin:+.2f}'


def judge(ledger, stops):
    """Return a Cut for each request without a complete answer."""
    cuts = []
    for attempt in ledger.attempts_by_id.values():
        if attempt.is_whole or not attempt.ended_at:
            continue
        works = [work for work in ledger.works if work.attempt == attempt.id]
        stop = next((s for s in stops if s.covers(attempt)), None)
        why = _excuse(ledger, attempt, works, stop) or LOST
        cuts.append(Cut(attempt, works, stop, why))
    return cuts


def _excuse(ledger, attempt, works, stop):
    """Return why a request does not count as lost, or ''."""
    if stop is None:
        return 'no stop'
    if attempt.left_at:
        return 'the client left'
    if attempt.last_byte_at is None:
        return 'not sent whole'
    if attempt.ended_at >= attempt.sent_at + attempt.seconds:
        return 'deadline'
    taken = attempt.ended_at - attempt.last_byte_at
    if not works and taken <= checks.LOSS_SLACK_SECONDS:
        return 'closed as it was sent'
    if any(_broke_off(ledger, attempt, work) for work in works):
        return 'the target broke off'
    if _is_early_and_at_work(attempt, works, stop):
        return 'at work in the last sixth'
    begin = attempt.sent_at - world.CONTACT_SECONDS
    if not ledger.is_calm((attempt.gateway, 'all'), begin, attempt.ended_at):
        return 'disruption'
    return ''


def _broke_off(ledger, attempt, work):
    """Return whether a target ended while it worked on the request."""
    return any(
        trouble.scope == work.target
        and work.began_at <= trouble.began_at <= attempt.ended_at
        and (work.ended_at or checks.FOREVER) >= trouble.began_at
        for trouble in ledger.troubles
    )


def _is_early_and_at_work(attempt, works, stop):
    """Return whether the last sixth of the grace excuses a request.

    A stand-in hears late that its connection has closed, so the caller's end
    counts too.
    """
    sixth_at = stop.at + stop.grace * checks.STOP_PART
    is_early = attempt.last_byte_at <= stop.at + checks.STOP_NEW_SECONDS
    ends = [work.ended_at or checks.FOREVER for work in works]
    return is_early and max([0, *ends]) >= sixth_at <= attempt.ended_at
