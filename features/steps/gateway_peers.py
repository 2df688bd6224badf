"""Steps for gateways that exchange the contents of the directory."""

import dataclasses
import types

import behave
import gevent

from features.support import loopback
from features.support import platform_site
from kingcupfront_core import address
from kingcupfront_core import caller_budget
from kingcupfront_decisions import cold_targets
from kingcupfront_gateway import adapter
from kingcupfront_gateway import crash_evidence
from kingcupfront_gateway import listing
from kingcupfront_gateway import members
from kingcupfront_gateway import peers
from kingcupfront_peer import codec

NOW = 1000.0


def _add_gateways(context, count, zone):
    for number in range(count):
        own_address = f'10.0.{zone}.{number}:8748'
        context.members.append(
            (zone, own_address, members.Members(own_address, zone))
        )


def _record_all_seen(context):
    for _, own_address, known_members in context.members:
        for zone, peer_address, _ in context.members:
            if peer_address != own_address:
                known_members.record_seen(peer_address, zone, context.now)


@behave.given(
    '{count:d} gateways of data centre "{first}" and {other:d} of "{second}" '
    'that know each other'
)
def gateways_that_know_each_other(context, count, first, other, second):
    context.members, context.now = [], NOW
    _add_gateways(context, count, first)
    _add_gateways(context, other, second)
    _record_all_seen(context)


@behave.given(
    '{count:d} gateways of data centre "{zone}" that know no other gateway'
)
def gateways_that_know_none(context, count, zone):
    context.members, context.now = [], NOW
    _add_gateways(context, count, zone)


def _watchers(context, zone):
    return [
        own_address
        for gateway_zone, own_address, known_members in context.members
        if gateway_zone == zone and known_members.watcher(context.now) is None
    ]


@behave.then('{count:d} gateways of "{zone}" watch the directory')
def count_watchers(context, count, zone):
    assert len(_watchers(context, zone)) == count


@behave.then(
    '{count:d} gateway of "{first}" and {other:d} of "{second}" watch the '
    'directory'
)
def count_both_watchers(context, count, first, other, second):
    count_watchers(context, count, first)
    count_watchers(context, other, second)


@behave.then('the other gateways of each data centre fetch from its watcher')
def others_fetch_from_watcher(context):
    for zone, own_address, known_members in context.members:
        chosen = known_members.watcher(context.now) or own_address
        assert [chosen] == _watchers(context, zone)


@behave.when('the watcher of "{zone}" does not answer the other gateways')
def watcher_fails(context, zone):
    (watcher,) = _watchers(context, zone)
    for _, own_address, known_members in context.members:
        if own_address != watcher:
            known_members.record_failure(watcher, context.now)


@behave.when('{seconds:d} seconds pass {contact} between the gateways')
def pass_time(context, seconds, contact):
    context.now += seconds
    if contact == 'with contact':
        _record_all_seen(context)


@behave.given('a gateway that fetches from a peer at second {second:d}')
def fetching_gateway(context, second):
    context.now = float(second)
    clock = types.SimpleNamespace(monotonic=lambda: context.now)
    here = address.Address('127.0.0.1', 1)
    settings = adapter.Settings(
        instance='entry-1',
        zone='a',
        regions_by_zone={},
        callers=here,
        readiness=here,
        metrics=None,
        directory=here,
        revocation=5.0,
        drain_grace=8.0,
        retry_ratio=0.2,
        retry_window=10.0,
        peers=here,
    )
    process = types.SimpleNamespace(
        settings=settings,
        clock=clock,
        crash_evidence=crash_evidence.CrashEvidence('entry-1', 0.0),
        cold_targets=cold_targets.ColdTargets('entry-1', 0.0),
        caller_budget=caller_budget.CallerBudget(),
    )
    context.peers = peers.PeerExchange(process)


@behave.when(
    'the response takes {takes:f} seconds and reports a view of {age:f} '
    'seconds'
)
def peer_responds(context, takes, age):
    body = codec.schema.DirectoryAnswer.new_message(
        revision=7, ageMilliseconds=round(age * 1000)
    ).to_bytes()

    def call(*arguments):
        context.now += takes
        return types.SimpleNamespace(body=body)

    context.peers.link.call = call
    context.update = context.peers.fetch_update('127.0.0.2:1', 0, 7)


@behave.then('the view counts as current at second {second:f}')
def view_is_current(context, second):
    assert abs(context.update.confirmed_at - second) < 1e-6, context.update


@behave.given('a listing at revision {revision:d} with entries "{names}"')
def new_listing(context, revision, names):
    context.listing = listing.Listing()
    entries = [listing.Entry(name, revision) for name in names.split()]
    context.listing.replace(entries, revision)


@behave.when('the entries "{changes}" change in this order')
def change(context, changes):
    for text in changes.split():
        revision = context.listing.revision + 1
        entry = listing.Entry(
            text.lstrip('-'), revision, b'', text.startswith('-')
        )
        context.listing.apply([entry], revision)


@behave.when('entry "{name}" changes {count:d} times')
def change_often(context, count, name):
    change(context, ' '.join([name] * count))


@behave.then('a peer at revision {revision:d} receives {expected}')
def receives_changes(context, revision, expected):
    is_snapshot, entries = context.listing.changes_since(revision)
    names = ['-' * e.is_deleted + e.key for e in entries]
    kind = 'all' if is_snapshot else 'changes'
    assert (
        ' '.join([kind, *sorted(names, reverse=not is_snapshot)]) == expected
    )


@behave.given('two gateways run that know each other')
def gateway_pair(context):
    context.gateway_pair = context.site.start_two()
    context.site.wait_until(lambda: _watcher(context) is not None)


def _watcher(context):
    """Return the gateway that watches once the other fetches from it."""
    sources = [
        running.directory_source for running, *_ in context.gateway_pair
    ]
    if sorted(source == 'directory' for source in sources) != [False, True]:
        return None
    return context.gateway_pair[sources.index('directory')]


def _fetching_gateway(context):
    return next(
        one for one in context.gateway_pair if one is not context.watcher
    )


@behave.when('the operator publishes another version')
def publish(context):
    context.site.publish()


@behave.when('the watching gateway is cut off from the store')
def cut_off(context):
    context.watcher = _watcher(context)
    context.watcher[1].there.silence()
    context.watcher[1].back.silence()


@behave.when('the watching gateway stops')
def watcher_stops(context):
    context.watcher = _watcher(context)
    context.watcher[2]()


def _lists_as_leaving(running, name):
    return running.targets.by_id[name].is_leaving


@behave.then(
    'both gateways list target "{name}" as leaving and use that version'
)
def both_list_as_leaving(context, name):
    both_use_version(context)
    context.site.wait_until(
        lambda: all(
            _lists_as_leaving(running, name)
            for running, *_ in context.gateway_pair
        )
    )


@behave.then('one of them watches the store and the other fetches from it')
def one_fetches(context):
    context.watcher = _watcher(context)
    running, *_ = context.watcher
    other, *_ = _fetching_gateway(context)
    assert other.directory_source == str(running.settings.peers)


@behave.then('the other gateway lists target "{name}" as leaving')
def other_lists_as_leaving(context, name):
    other, *_ = _fetching_gateway(context)
    context.site.wait_until(lambda: _lists_as_leaving(other, name))


@behave.then('the other gateway watches the store itself')
def watches_itself(context):
    other, *_ = _fetching_gateway(context)
    context.site.wait_until(lambda: other.directory_source == 'directory')


@behave.when('target "{name}" starts to drain')
def starts_to_drain(context, name):
    context.site.drain(name)


@behave.when(
    'the operator publishes a configuration with {count:d} more routes'
)
def publish_large(context, count):
    context.watcher = _watcher(context)
    _, path, _ = _fetching_gateway(context)
    context.calls_before = path.there.passed
    for number in range(count):
        context.site.add_route(f'more-{number}', route_type='idempotent')
    context.site.publish()


@behave.then('both gateways use that version')
def both_use_version(context):
    context.site.wait_until(
        lambda: all(
            running.configuration.version == context.site.version
            for running, *_ in context.gateway_pair
        )
    )


@behave.then(
    'the gateway that fetches from its peer made {calls} calls to the store'
)
def made_calls(context, calls):
    _, path, _ = _fetching_gateway(context)
    has_called = path.there.passed > context.calls_before
    assert has_called == (calls == 'some'), path.there.passed


@behave.given('three gateways run whose seeds are all dead')
def dead_seeds(context):
    context.site = platform_site.Site(context.stack)
    dead = address.Address(loopback.new_host(), platform_site.PORT)
    found = context.site.start_several(3, seeds=(dead,))
    context.gateways = [running for running, *_ in found]


@behave.when('a reload names live seeds')
def live_seeds(context):
    # The gateways try the dead seeds for a while first.
    gevent.sleep(1.5)
    seeds = (context.gateways[0].settings.peers,)
    for gateway in context.gateways:
        gateway.apply_settings(
            dataclasses.replace(gateway.settings, seeds=seeds)
        )


@behave.then('one watches the store for the others within {seconds:d} seconds')
def know_one_another(context, seconds):
    strangers = AssertionError('the gateways are strangers to one another')
    with gevent.Timeout(seconds, strangers):
        while [g.directory_source for g in context.gateways].count(
            'directory'
        ) != 1:
            gevent.sleep(0.05)
