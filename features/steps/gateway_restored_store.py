"""Steps for a gateway whose store is restored from a copy."""

import time
import types

import behave
import gevent

from features.support import log_capture
from features.support import platform_site
from kingcupfront_core import errors as core_errors
from kingcupfront_peer import codec

ZONE = 'zone-b'


@behave.given(
    'a site with plain targets "{names}" whose store counts restores'
)
def counting_site(context, names):
    context.site = platform_site.Site(context.stack)
    context.site.store.count_eras()
    for name in names.split(','):
        context.site.add_plain(name)


@behave.given('target "{name}" is in data centre "{zone}"')
def in_zone(context, name, zone):
    server = context.site.targets[name]
    server.zone = zone
    context.site.store.put(f'servers/{name}', server.entry())


def _wait_for_view(site, gateways=None):
    """Wait until gateways have read the present revision."""
    site.wait_until(
        lambda: all(
            gateway.listing.view == (site.store.era, site.store.revision)
            for gateway in gateways or [site.gateway]
        )
    )


def _fill(store, count):
    for number in range(count):
        store.put('other/counter', {'number': number})


def _lose_writes(context, count, write, gateways=None):
    """Restore a copy and write again, before a gateway can notice.

    :param count: the writes that are lost; one more follows the restore.
    """
    store = context.site.store
    copied = store.copy()
    _fill(store, count)
    _wait_for_view(context.site, gateways)
    store.restore(copied)
    write()
    _fill(store, count)


@behave.when(
    '{count:d} writes are lost by a restore and the operator then {writes}'
)
def writes_lost(context, count, writes):
    site = context.site

    def take_key_away():
        site.keys = {'north': ['another-key']}
        site.publish()

    write = {
        'takes the key away': take_key_away,
        'publishes a version': site.publish,
        'lists another target': lambda: site.add_plain('z'),
        'evacuates zone-b': lambda: site.store.put(f'op/evacuate/{ZONE}', {}),
    }[writes]
    _lose_writes(context, count, write)


@behave.when(
    '{count:d} writes are lost by a restore and another target is listed'
)
def writes_lost_for_pair(context, count):
    store = context.site.store
    copied = store.copy()
    _fill(store, count)
    connected = [
        running
        for running, path, _ in context.gateway_pair
        if path.there.open.is_set()
    ]
    _wait_for_view(context.site, connected)
    store.restore(copied)
    context.site.add_plain('z')
    _fill(store, count)


@behave.when('the watching gateway reaches the store again')
def reaches_store(context):
    gevent.sleep(1.0)
    context.watcher[1].heal()


@behave.then('both gateways are in era {era:d} and list that target')
def both_in_era(context, era):
    gateways = [running for running, *_ in context.gateway_pair]
    context.site.wait_until(
        lambda: all(
            g.listing.era == era and 'z' in g.targets.by_id for g in gateways
        )
    )


@behave.then('within {seconds:d} seconds the gateway {does}')
def gateway_does(context, seconds, does):
    site, gateway = context.site, context.site.gateway
    is_done = {
        'refuses the key': lambda: site.ask('once').status == 401,
        'uses that version': lambda: (
            gateway.configuration.version == site.version
        ),
        'lists that target': lambda: 'z' in gateway.targets.by_id,
        'evacuates zone-b': lambda: ZONE in gateway.evacuations,
    }[does]
    with gevent.Timeout(seconds, AssertionError(does)):
        while not is_done():
            gevent.sleep(0.05)


@behave.when('the store loses all writes since a copy')
def store_restored(context):
    _lose_writes(context, 2, lambda: None)


@behave.then(
    'the gateway logs one restore, from era {former:d} to era {era:d}'
)
def restore_logged(context, former, era):
    _wait_for_view(context.site)
    (record,) = log_capture.events(context.records, 'directory_restored')
    assert (record.former_era, record.era) == (former, era)
    assert record.former_revision > 0


@behave.then('the state dump and the metrics show era {era:d}')
def era_shown(context, era):
    site = context.site
    dump = platform_site.dump(site)
    assert dump['directory_era'] == era, dump
    with site.connection(site.settings.readiness) as line:
        line.request('GET', '/metrics')
        text = line.getresponse().read().decode()
    values = [
        float(row.split()[-1])
        for row in text.splitlines()
        if 'directory_era' in row and not row.startswith('#')
    ]
    assert values == [era], text


@behave.when('target "{name}" is listed and its entry is lost by a restore')
def target_lost(context, name):
    store = context.site.store
    copied = store.copy()
    context.site.add_plain(name)
    _fill(store, 2)
    _wait_for_view(context.site)
    store.restore(copied)
    _fill(store, 5)
    _wait_for_view(context.site)


@behave.then(
    'the gateway lists target "{name}" {seconds:d} second after it has read '
    'the store again'
)
def keeps_target(context, name, seconds):
    gevent.sleep(seconds)
    assert name in context.site.gateway.targets.by_id


@behave.then(
    'the gateway does not list target "{name}" after {seconds:d} seconds'
)
def removes_target(context, name, seconds):
    gevent.sleep(seconds)
    assert name not in context.site.gateway.targets.by_id


def _restore_after(context, write):
    """Write, let the gateway read it, and lose it."""
    store = context.site.store
    copied = store.copy()
    write()
    _wait_for_view(context.site)
    store.restore(copied)
    _fill(store, 5)
    _wait_for_view(context.site)


@behave.when('the operator publishes another version, which a restore loses')
def version_lost(context):
    _restore_after(context, context.site.publish)


@behave.when('the operator revokes the key, which a restore loses')
def revocation_lost(context):
    context.site.keys = {'north': ['another-key']}
    _restore_after(context, context.site.publish)


@behave.then('the gateway in era {era:d} uses the version that was lost')
def uses_lost_version(context, era):
    gateway = context.site.gateway
    assert gateway.listing.era == era
    assert gateway.configuration.version == context.site.version


def _lose_evacuation(context, zone):
    store = context.site.store
    copied = store.copy()
    store.put(f'op/evacuate/{zone}', {})
    _wait_for_view(context.site)
    assert zone in context.site.gateway.evacuations
    store.restore(copied)
    context.restored_at = time.monotonic()


@behave.when(
    'the evacuation of "{zone}" is lost by a restore and written again '
    '{seconds:d} seconds later'
)
def evacuation_lost(context, zone, seconds):
    _lose_evacuation(context, zone)
    _watch_evacuation(context, zone, seconds)
    context.site.store.put(f'op/evacuate/{zone}', {})


@behave.when('the evacuation of "{zone}" is lost by a restore')
def evacuation_lost_for_good(context, zone):
    _lose_evacuation(context, zone)


def _watch_evacuation(context, zone, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert zone in context.site.gateway.evacuations
        gevent.sleep(0.02)


@behave.then(
    'the gateway has evacuated "{zone}" without interruption for {seconds:d} '
    'seconds more'
)
def evacuated_throughout(context, zone, seconds):
    _watch_evacuation(context, zone, seconds)


@behave.then(
    'the evacuation of "{zone}" ends {least:d} to {most:d} seconds after the '
    'restore'
)
def evacuation_ends(context, zone, least, most):
    context.site.wait_until(
        lambda: zone not in context.site.gateway.evacuations
    )
    seconds = time.monotonic() - context.restored_at
    assert least <= seconds <= most, seconds


@behave.when('target "{name}" announces that it leaves, which a restore loses')
def announcement_lost(context, name):
    server = context.site.targets[name]
    server.is_draining = True
    entry = server.entry(sequence=5)
    _restore_after(
        context, lambda: context.site.store.put(f'servers/{name}', entry)
    )


@behave.when(
    'the store is restored twice, with a target lost and one listed between'
)
def restored_twice(context):
    site, store = context.site, context.site.store
    copied = store.copy()
    site.add_plain('lost')
    _fill(store, 3)
    _wait_for_view(site)
    store.restore(copied)
    site.add_plain('between')
    _fill(store, 3)
    gevent.sleep(0.2)
    store.restore(copied)
    site.add_plain('last')
    _fill(store, 9)


@behave.then(
    'the gateway in era {era:d} lists the targets of the store after '
    '{seconds:d} seconds'
)
def lists_store(context, era, seconds):
    gevent.sleep(seconds)
    gateway = context.site.gateway
    assert gateway.listing.era == era, gateway.listing.view
    listed = {
        key.removeprefix('servers/')
        for key in context.site.store.values_by_key
        if key.startswith('servers/')
    }
    assert set(gateway.targets.by_id) == listed, gateway.targets.by_id


@behave.when(
    'the gateway starts and target "{name}" is lost by a restore between two '
    'pages'
)
def restored_between_pages(context, name):
    store = context.site.store
    pages = []

    def restore(path):
        pages.append(path)
        if pages.count('/v1/kv-range') == 2:
            store.on_call = lambda path: None
            copied = store.copy()
            # The copy dates from before the target was listed.
            del copied[0][f'servers/{name}']
            store.restore(copied)
            _fill(store, 9)

    store.on_call = restore
    context.site.start()


@behave.when(
    'the store is restored and then answers once more in the former era'
)
def former_era(context):
    store = context.site.store
    _restore_after(context, context.site.publish)
    store.era_fields = [('Store-Era', '0')]
    context.site.add_plain('former')
    gevent.sleep(1.0)
    context.known = set(context.site.gateway.targets.by_id)
    store.count_eras(store.era)


@behave.then(
    'the gateway in era {era:d} has not applied what that answer listed'
)
def not_applied(context, era):
    assert 'former' not in context.known
    _wait_for_view(context.site)
    assert context.site.gateway.listing.era == era


@behave.when('the store names "{value}" as its era and a target is listed')
def odd_era(context, value):
    context.site.store.era_fields = [('Store-Era', value)]
    context.site.add_plain('z')
    gevent.sleep(1.0)


@behave.then(
    'the gateway lists that target and has logged the value at most once'
)
def odd_era_ignored(context):
    gateway = context.site.gateway
    assert 'z' in gateway.targets.by_id
    assert gateway.listing.era == 0
    assert len(log_capture.events(context.records, 'era_ignored')) == 1


@behave.when('a peer answers in era {answered:d} a gateway in era {known:d}')
def peer_answers(context, answered, known):
    body = codec.schema.DirectoryAnswer.new_message(
        revision=7, era=answered
    ).to_bytes()
    context.peers.link.call = lambda *_: types.SimpleNamespace(body=body)
    try:
        context.peers.fetch_update('127.0.0.2:1', known, 7)
        context.outcome = 'used'
    except core_errors.KingcupfrontError as error:
        assert error.code == 'old_era', error
        context.outcome = 'discarded'


@behave.then('the answer is {used}')
def answer_is(context, used):
    assert context.outcome == used
