"""The promises, checked on what callers, targets and the operator saw."""

import bisect
import collections
import itertools

from features.support import platform_server
from features.support import platform_site
from features.support.soak import faults
from features.support.soak import load
from features.support.soak import world
from kingcupfront_core import registry

checks = registry.Registry('promise')
RUN_ONCE = ('once', 'stream')
PLAIN_ROUTES = ('safe', 'once', world.MOVING_ROUTE, world.REGIONAL_ROUTE)
MOST_TARGETS = 2
BUDGET_RATIO = 0.2
BUDGET_WINDOW_SECONDS = 10.0
# The platform's slack of Los Santos, for each of its 8 instances.
BUDGET_SLACK_PER_GATEWAY = 56 / 8
LATE_SECONDS = 0.5
HANDED_ON_SECONDS = 0.4
AFTER_LEAVING_SECONDS = 0.5
LEFT_RUNS = 3
LEFT_PART = 0.25
ROLLBACK_SECONDS = 0.25
LOSS_SLACK_SECONDS = 0.2
# A request sent later than this after SIGTERM may reach the end of the grace.
STOP_PART = 5 / 6
STOP_NEW_SECONDS = 3.0
MOST_CRASHES = 5
LATE_CRASHING = 3
SOUND_PARTS = 2
AFTER_REFUSAL_SECONDS = 0.5
LATE_TO_SILENT = 2
# Of streams that are taken up, as a part of that of new ones, from so many.
GOING_ON_PART = 0.5
FEWEST_TAKEN_UP = 12
FEWEST_ENGINES = 2
CHANGE_SECONDS = world.APPLY_SECONDS + 1.0
FOREVER = float('inf')


def _in_touch(site, attempt):
    """Return whether an attempt's gateway is bound by rules with a time."""
    return site.ledger.is_calm(
        (attempt.gateway, 'store', 'all'),
        attempt.sent_at - world.CONTACT_SECONDS,
        attempt.ended_at or FOREVER,
    )


def _attempts(site, *routes):
    for attempt in list(site.ledger.attempts_by_id.values()):
        if not routes or attempt.route in routes:
            yield attempt


def _fresh(site, attempt):
    runs = site.ledger.runs_by_id.get(attempt.id, ())
    return [run for run in runs if not run.is_continuation]


@checks.register('at most once')
def at_most_once(site):
    for attempt in _attempts(site, *RUN_ONCE):
        runs = _fresh(site, attempt)
        yield len(runs) <= 1, f'{attempt.id} ran at {runs}'


@checks.register('bounded attempts')
def bounded_attempts(site):
    for attempt in _attempts(site, 'safe', 'resume', world.MOVING_ROUTE):
        runs = _fresh(site, attempt)
        calm = {
            run.target
            for run in runs
            if site.ledger.is_calm((run.target,), run.at, attempt.ended_at)
        }
        yield len(calm) <= MOST_TARGETS, f'{attempt.id} ran at {runs}'


@checks.register('not run is true')
def not_run_is_true(site):
    for attempt in _attempts(site):
        is_signed = 'kingcupfront-server-signature' in attempt.headers
        if attempt.is_own_refusal and not is_signed:
            runs = site.ledger.runs_by_id.get(attempt.id, ())
            yield not runs, f'{attempt.id} got {attempt.status}: {runs}'


@checks.register('own whole answers')
def own_whole_answers(site):
    for attempt in _attempts(site, *PLAIN_ROUTES):
        if 200 <= attempt.status < 300 and not attempt.left_at:
            signed = attempt.headers.get('kingcupfront-server-signature')
            expected = [
                f'answer of {run.target} to {attempt.id}'.encode()
                for run in site.ledger.runs_by_id.get(attempt.id, ())
            ]
            holds = signed == platform_server.SIGNATURE
            holds = holds and attempt.is_whole and attempt.body in expected
            yield holds, f'{attempt.id}: {attempt.body!r}'


@checks.register('bodies arrive as sent')
def own_bodies(site):
    others = bytes(site.ledger.late_bytes - set(faults.LONG_BODY[:1]))
    yield not others, f'{others!r} where the rest of a long body was due'
    for attempt_id, body in site.ledger.bodies:
        attempt = site.ledger.attempts_by_id.get(attempt_id)
        holds = attempt is not None and body == attempt.message.body
        yield holds, f'{attempt_id}: {body[:100]!r}'


@checks.register('events once and in order')
def events_in_order(site):
    for attempt in _attempts(site, *load.STREAMS):
        if attempt.status != 200 or attempt.left_at:
            continue
        found = platform_site.numbers(attempt.body)
        wanted = list(range(attempt.after + 1, attempt.wanted + 1))
        own = all(
            attempt.id.encode() in line.split(b' ')
            for line in attempt.body.splitlines()
            if line.startswith(b'data:') and attempt.is_whole
        )
        holds = found == wanted[: len(found)] and own
        if attempt.is_whole:
            holds = holds and found == wanted
        yield holds, f'{attempt.id}: {found} of {attempt.wanted}'


@checks.register('keys')
def keys(site):
    revoked = site.ledger.revoked_at_by_key
    for attempt in _attempts(site):
        runs = site.ledger.runs_by_id.get(attempt.id, ())
        limit = revoked.get(attempt.key, FOREVER) + world.REVOKE_SECONDS
        holds = not runs or attempt.sent_at <= limit
        holds = holds and all(run.team == 'north' for run in runs)
        yield holds, f'{attempt.id} with {attempt.key}: {runs}'


@checks.register('nothing allowed is denied')
def not_denied(site):
    for attempt in _attempts(site):
        if attempt.key == platform_site.KEY:
            holds = attempt.status not in (401, 403, 404)
            yield holds, f'{attempt.id} got {attempt.status}'


@checks.register('leaving targets')
def leaving_targets(site):
    for arrival in site.ledger.arrivals:
        drained = site.ledger.drained_at_by_target.get(arrival.target)
        attempt = site.ledger.attempts_by_id.get(arrival.attempt)
        if drained is None or attempt is None:
            continue
        limit = drained + world.DRAIN_SECONDS
        if attempt.sent_at > limit and _in_touch(site, attempt):
            yield False, f'{attempt.id} reached {arrival}'
        yield True, ''


def _versions(site, low, high):
    """Yield the versions in force at some time of a span."""
    times = [row[0] for row in site.ledger.configurations]
    first = max(0, bisect.bisect_right(times, low) - 1)
    for row in site.ledger.configurations[first:]:
        if row[0] > high:
            return
        yield row


@checks.register('configuration in force')
def in_force(site):
    for attempt in _attempts(site, world.MOVING_ROUTE):
        for run in site.ledger.runs_by_id.get(attempt.id, ()):
            low = attempt.sent_at - world.APPLY_SECONDS
            allowed = {
                row[2][world.MOVING_ROUTE]
                for row in _versions(site, low, run.at)
            }
            if run.service not in allowed and _in_touch(site, attempt):
                yield False, f'{attempt.id} ran at {run}, not {allowed}'
            yield True, ''


@checks.register('permitted regions')
def permitted_regions(site):
    """Requests reach the regions that the operator allows, and no other."""
    times = [at for at, _ in site.ledger.regions]
    for arrival, attempt, _ in _paths(site):
        if attempt.route != world.REGIONAL_ROUTE:
            continue
        if not _in_touch(site, attempt):
            continue
        low = attempt.sent_at - world.APPLY_SECONDS
        first = max(0, bisect.bisect_right(times, low) - 1)
        last = bisect.bisect_right(times, arrival.at)
        allowed = {
            region
            for _, regions in site.ledger.regions[first:last]
            for region in regions
        }
        zone = site.ledger.zone_by_target[arrival.target]
        holds = world.REGION_BY_ZONE[zone] in allowed
        yield holds, f'{attempt.id} reached {arrival} in {zone}'


@checks.register('evacuated zones')
def evacuated_zones(site):
    """Nothing new reaches a zone from five seconds on."""
    for arrival, attempt, _ in _paths(site):
        zone = site.ledger.zone_by_target[arrival.target]
        for evacuated, began, ended in list(site.ledger.evacuations):
            if not began + world.EVACUATE_SECONDS < arrival.at < ended:
                continue
            # A slow path may delay what was sent before.
            is_direct = site.ledger.is_calm(
                (arrival.target,), attempt.sent_at, arrival.at
            )
            if is_direct and _in_touch(site, attempt):
                holds = zone != evacuated
                yield holds, f'{attempt.id} reached {arrival} in {zone}'


@checks.register('configuration never reverts')
def never_reverts(site):
    """Follow the oldest version that explains what each process did."""
    effects = collections.defaultdict(list)
    for attempt in sorted(
        _attempts(site, world.MOVING_ROUTE), key=lambda a: a.sent_at
    ):
        for run in site.ledger.runs_by_id.get(attempt.id, ()):
            floor = max(
                (
                    version
                    for at, version in effects[attempt.pid]
                    if at < attempt.sent_at - ROLLBACK_SECONDS
                ),
                default=0,
            )
            explained = [
                version
                for at, version, services in site.ledger.configurations
                if services[world.MOVING_ROUTE] == run.service
                and version >= floor
                and at <= run.at
            ]
            if not explained and _in_touch(site, attempt):
                yield False, f'{attempt.id}: {run} after {floor}'
            if explained:
                effects[attempt.pid].append((run.at, min(explained)))
            yield True, ''


@checks.register('graceful stops')
def graceful_stops(site):
    """No answer is cut by a stop alone, before its head or after it."""
    for attempt in _attempts(site):
        if attempt.left_at or attempt.is_whole:
            continue
        if attempt.status and attempt.id in site.ledger.spoiled_ids:
            # Its target broke off by a fault of the soak.
            continue
        for name, pid, began, ended in site.ledger.stops:
            if (name, pid) != (attempt.gateway, attempt.pid):
                continue
            if not began - attempt.seconds < attempt.sent_at < ended:
                continue
            yield (
                not _cut_by_stop(site, attempt, began),
                (
                    f'{attempt.id} {attempt.route} was cut '
                    f'{attempt.ended_at - began:.1f} s after SIGTERM'
                ),
            )


def _cut_by_stop(site, attempt, began):
    runs = site.ledger.runs_by_id.get(attempt.id, ())
    if attempt.ended_at < began or (attempt.may_be_unread and not runs):
        return False
    taken = attempt.ended_at - attempt.sent_at
    if not runs and taken < LOSS_SLACK_SECONDS:
        return False
    near_end = began + world.GRACE_SECONDS * STOP_PART
    is_old = attempt.sent_at < began + STOP_NEW_SECONDS
    if is_old and attempt.ended_at > near_end:
        return False
    scopes = (attempt.gateway, *(run.target for run in runs), 'all')
    begin = attempt.sent_at - world.CONTACT_SECONDS
    return site.ledger.is_calm(scopes, begin, attempt.ended_at, but=('stop',))


@checks.register('nothing is cut by a configuration')
def not_cut_by_change(site):
    """Callers get the whole of the answers that run during a change."""
    times = [row[0] for row in site.ledger.configurations]
    for attempt in _attempts(site):
        last = bisect.bisect_right(times, attempt.ended_at) - 1
        is_near = attempt.ended_at - times[last] < CHANGE_SECONDS
        is_spoiled = attempt.left_at or attempt.id in site.ledger.spoiled_ids
        if not is_near or not attempt.status or is_spoiled:
            continue
        runs = site.ledger.runs_by_id.get(attempt.id, ())
        calm = site.ledger.is_calm(
            (attempt.gateway, *(run.target for run in runs), 'all'),
            attempt.sent_at - world.CONTACT_SECONDS,
            attempt.ended_at,
        )
        taken = attempt.ended_at - attempt.sent_at
        holds = attempt.is_whole or taken > attempt.seconds or not calm
        yield holds, f'{attempt.id} {attempt.route} at {attempt.ended_at}'


@checks.register('sound streams are not cut')
def sound_streams(site):
    """Streams whose engines are sound go on to their end."""
    for attempt in _attempts(site, *load.STREAMS):
        is_spoiled = attempt.left_at or attempt.id in site.ledger.spoiled_ids
        # Prompts that crash engines may be cancelled.
        is_sound = len(attempt.parts) == SOUND_PARTS and not is_spoiled
        if attempt.status != 200 or not is_sound:
            continue
        runs = site.ledger.runs_by_id.get(attempt.id, ())
        calm = site.ledger.is_calm(
            (attempt.gateway, *(run.target for run in runs), 'all'),
            attempt.sent_at - world.CONTACT_SECONDS,
            attempt.ended_at,
            but=('hup',),
        )
        taken = attempt.ended_at - attempt.sent_at
        holds = attempt.is_whole or taken > attempt.seconds or not calm
        yield holds, f'{attempt.id} at {attempt.ended_at}: {runs}'


@checks.register('one version writes a stream')
def one_version(site):
    """In one answer or over all tries of its caller."""
    tries_by_stream = collections.defaultdict(list)
    for attempt in _attempts(site, *load.STREAMS):
        if attempt.versions:
            stream = attempt.resumes or attempt.id
            tries_by_stream[stream].append(attempt)
    for stream, tries in tries_by_stream.items():
        versions = set().union(*(attempt.versions for attempt in tries))
        holds = len(versions) <= 1 or not _knew_versions(site, tries)
        runs = [site.ledger.runs_by_id.get(a.id, ()) for a in tries]
        yield holds, f'{stream} by {versions}: {runs}'


def _knew_versions(site, tries):
    """Return whether entries told in time what software engines had.

    An engine that changes in place names its version only a moment before.
    """
    renamed = site.ledger.renamed_ids
    return all(
        _in_touch(site, attempt)
        for attempt in tries
        if any(
            run.target in renamed
            for run in site.ledger.runs_by_id.get(attempt.id, ())
        )
    )


@checks.register('streams that are taken up go on')
def taken_up(site):
    """At least half as often as new ones begin."""
    gone_on, begun = [], []
    for attempt in _attempts(site, 'resume'):
        is_spoiled = attempt.left_at or attempt.id in site.ledger.spoiled_ids
        is_judged = _in_touch(site, attempt) and not is_spoiled
        if not is_judged or len(attempt.parts) != SOUND_PARTS:
            continue
        if attempt.resumes is None:
            begun.append(attempt.status == 200)
        elif _could_go_on(site, attempt):
            gone_on.append((attempt.status == 200, attempt))
    if len(gone_on) < FEWEST_TAKEN_UP:
        return
    share = sum(holds for holds, _ in gone_on) / len(gone_on)
    least = GOING_ON_PART * sum(begun) / max(1, len(begun))
    refused = [a.id for holds, a in gone_on if not holds]
    for _ in gone_on:
        yield share >= least, f'{share:.2f} and not {least:.2f}: {refused}'


def _could_go_on(site, attempt):
    """Return whether enough engines have the version of a stream.

    Gateways tell others of streams while a service has several versions.
    """
    first = site.ledger.attempts_by_id[attempt.resumes]
    runs = site.ledger.runs_by_id.get(first.id, ())
    if any(run.target in site.ledger.renamed_ids for run in runs):
        return False
    was_mixed = len({s.version for s in _serving(site, first.sent_at)}) > 1
    begin = attempt.sent_at - world.APPLY_SECONDS
    end = attempt.sent_at + world.APPLY_SECONDS
    evacuated = {
        zone
        for zone, at, until in site.ledger.evacuations
        if at < end and begin < until
    }
    able = [
        service
        for service in _serving(site, begin)
        if service.ended_at > end
        and service.version in first.versions
        and site.ledger.zone_by_target[service.target] not in evacuated
        and site.ledger.is_calm((service.target,), begin, end)
    ]
    return was_mixed and len(able) >= FEWEST_ENGINES


def _serving(site, at):
    return [s for s in site.ledger.services if s.began_at < at < s.ended_at]


@checks.register('shared retry budget')
def retry_budget(site):
    """Sum the repeats of all gateways over sliding windows."""
    slack = BUDGET_SLACK_PER_GATEWAY * len(site.gateways)
    seen, repeats = set(), collections.defaultdict(list)
    requests = collections.defaultdict(list)
    for arrival in site.ledger.arrivals:
        if arrival.attempt in seen:
            repeats[arrival.service].append(arrival.at)
        else:
            requests[arrival.service].append(arrival.at)
        seen.add(arrival.attempt)
    for service, times in repeats.items():
        for end in times:
            count = _within(times, end)
            asked = max(
                _within(requests[service], end - back * BUDGET_WINDOW_SECONDS)
                for back in (0, 0.5, 1)
            )
            most = BUDGET_RATIO * asked + slack
            yield count <= most, f'{service}: {count} repeats of {asked}'


def _within(times, end):
    begin = end - BUDGET_WINDOW_SECONDS
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


@checks.register('final answers in time')
def in_time(site):
    for attempt in _attempts(site):
        late = attempt.ended_at - attempt.sent_at - attempt.seconds
        if late > LATE_SECONDS and _in_touch(site, attempt):
            yield False, f'{attempt.id} ended {late:.2f} s late'
        yield True, ''


@checks.register('nothing works for callers that left')
def left_callers(site):
    """A few may cross; a rule about shares, as on the platform."""
    total, still = 0, []
    for work in site.ledger.works:
        attempt = site.ledger.attempts_by_id.get(work.attempt)
        if attempt is None or not attempt.left_at:
            continue
        if work.ended_at and work.ended_at < attempt.left_at:
            continue
        scopes = (attempt.gateway, work.target, 'all')
        begin = attempt.left_at - world.CONTACT_SECONDS
        if not site.ledger.is_calm(scopes, begin, attempt.left_at + 1):
            continue
        total += 1
        limit = attempt.left_at + AFTER_LEAVING_SECONDS
        if (work.ended_at or FOREVER) > limit:
            still.append(work)
    few = len(still) <= max(LEFT_RUNS, LEFT_PART * total)
    yield few, f'{len(still)} of {total}: {still[:3]}'


@checks.register('one engine at a time')
def one_engine(site):
    by_attempt = collections.defaultdict(list)
    for work in site.ledger.works:
        attempt = site.ledger.attempts_by_id.get(work.attempt)
        # A target that turns a request away does not hold it.
        is_held = work.has_run or work.ended_at is None
        if is_held and attempt is not None and attempt.route == 'stream':
            by_attempt[work.attempt].append(work)
    for attempt_id, works in by_attempt.items():
        attempt = site.ledger.attempts_by_id[attempt_id]
        for before, after in itertools.combinations(works, 2):
            limit = after.began_at + HANDED_ON_SECONDS
            scopes = (attempt.gateway, before.target, after.target, 'all')
            if not site.ledger.is_calm(
                scopes,
                after.began_at - world.CONTACT_SECONDS,
                limit,
                but=('bad answers',),
            ):
                continue
            # A takeover that is given up ends at the later engine.
            ends = (work.ended_at or FOREVER for work in (before, after))
            holds = min(ends) <= limit
            yield holds, f'{attempt_id} at {before} and {after}'


@checks.register('crashing prompts')
def crashing_prompts(site):
    """Few requests with a part reach engines once five have ended on it."""
    for part, times in site.ledger.crashes_by_part.items():
        if len(times) < MOST_CRASHES:
            yield True, ''
            continue
        limit = sorted(times)[MOST_CRASHES - 1] + world.CONTACT_SECONDS
        late = [
            arrival
            for arrival in site.ledger.arrivals
            if arrival.at > limit
            and part in _parts(site, arrival)
            and _in_touch(site, site.ledger.attempts_by_id[arrival.attempt])
        ]
        few = len(late) <= LATE_CRASHING
        yield few, f'{len(late)} with {part} after {limit}: {late[:4]}'


def _parts(site, arrival):
    attempt = site.ledger.attempts_by_id.get(arrival.attempt)
    return attempt.parts if attempt else ()


@checks.register('sound prompts are not blocked')
def sound_prompts(site):
    for attempt in _attempts(site, *load.STREAMS):
        if len(attempt.parts) == SOUND_PARTS:
            is_blocked = attempt.body.startswith(b'crashing_prompt_part')
            yield not is_blocked, f'{attempt.id} with {attempt.parts}'


@checks.register('cold targets')
def cold_targets(site):
    """A cold target gets few requests in any second, from all gateways."""
    for target, (began_at, ended_at) in site.ledger.cold_by_target.items():
        times = [
            arrival.at
            for arrival in site.ledger.arrivals
            if arrival.target == target and began_at <= arrival.at < ended_at
        ]
        for number, start in enumerate(times):
            count = bisect.bisect_right(times, start + 1.0) - number
            yield (
                count <= world.COLD_LIMIT,
                f'{target} got {count} requests in a second from {start:.2f}',
            )


def _paths(site):
    """Yield each request that reached a target, with the way it took."""
    for arrival in site.ledger.arrivals:
        attempt = site.ledger.attempts_by_id.get(arrival.attempt)
        if attempt is not None:
            yield (
                arrival,
                attempt,
                (
                    attempt.gateway,
                    attempt.pid,
                    arrival.target,
                ),
            )


@checks.register('leaving by a reply')
def leaving_by_reply(site):
    """Requests that callers send later do not reach a target that leaves."""
    told = site.ledger.told_leaving_by_path
    for arrival, attempt, path in _paths(site):
        if path not in told:
            continue
        limit = told[path] + world.DRAIN_SECONDS
        calm = site.ledger.is_calm((attempt.gateway, 'all'), told[path], limit)
        holds = attempt.sent_at <= limit or not calm
        yield holds, f'{attempt.id} reached {arrival}'


@checks.register('silent targets')
def silent_targets(site):
    """A target that asks for silence gets two requests at most meanwhile."""
    came = collections.defaultdict(list)
    for arrival, _, path in _paths(site):
        came[path].append(arrival.at)
    for path, silences in site.ledger.silences_by_path.items():
        for at, seconds in silences:
            if not site.ledger.is_calm((path[0], 'all'), at, at + seconds):
                continue
            begin = at + AFTER_REFUSAL_SECONDS
            late = [t for t in came[path] if begin < t < at + seconds]
            yield len(late) <= LATE_TO_SILENT, f'{path}: {late} after {at}'


@checks.register('health checks are answered')
def health_checks(site):
    """A gateway without trouble does not miss two in a row."""
    yield True, ''
    for gateway, at in site.ledger.missed_checks:
        begin = at - world.CONTACT_SECONDS
        calm = site.ledger.is_calm((gateway.name, 'all'), begin, at)
        yield not calm, f'{gateway.name} missed two at {at:.1f}'
