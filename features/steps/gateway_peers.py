"""Steps for gateways that tell one another what the directory holds."""

import types

import behave

from kingcupfront_core import address
from kingcupfront_gateway import adapter
from kingcupfront_gateway import listing
from kingcupfront_gateway import members
from kingcupfront_gateway import peers
from kingcupfront_peer import codec

NOW = 1000.0


def _add(context, count, place):
    for number in range(count):
        own = f'10.0.{place}.{number}:8748'
        context.members.append((place, own, members.Members(own, place)))


def _introduce(context):
    for _, own, found in context.members:
        for place, address_, _ in context.members:
            if address_ != own:
                found.hear(address_, place, context.now)


@behave.given(
    '{count:d} gateways of data centre "{first}" and {other:d} of "{second}" '
    'that know one another'
)
def known(context, count, first, other, second):
    context.members, context.now = [], NOW
    _add(context, count, first)
    _add(context, other, second)
    _introduce(context)


@behave.given('{count:d} gateways of data centre "{place}" that know nobody')
def unknown(context, count, place):
    context.members, context.now = [], NOW
    _add(context, count, place)


def _watching(context, place):
    return [
        own
        for at, own, found in context.members
        if at == place and found.watcher(context.now) is None
    ]


@behave.then('{count:d} gateways of "{place}" watch the directory')
def watch(context, count, place):
    assert len(_watching(context, place)) == count


@behave.then(
    '{count:d} gateway of "{first}" and {other:d} of "{second}" watch the '
    'directory'
)
def watch_both(context, count, first, other, second):
    watch(context, count, first)
    watch(context, other, second)


@behave.then('the others of a data centre ask the one that watches')
def ask_it(context):
    for place, own, found in context.members:
        chosen = found.watcher(context.now) or own
        assert [chosen] == _watching(context, place)


@behave.when('the watcher of "{place}" does not answer the others')
def no_answer(context, place):
    (watcher,) = _watching(context, place)
    for _, own, found in context.members:
        if own != watcher:
            found.suspect(watcher, context.now)


@behave.when(
    '{seconds:d} seconds pass for the gateways, which {hear} of one another'
)
def pass_time(context, seconds, hear):
    context.now += seconds
    if hear == 'hear':
        _introduce(context)


@behave.given('a gateway that asks a peer at second {second:d}')
def asking(context, second):
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
    process = types.SimpleNamespace(settings=settings, clock=clock)
    context.peers = peers.Peers(process)


@behave.when(
    'the answer takes {takes:f} seconds and tells an age of {age:f} seconds'
)
def answered(context, takes, age):
    body = codec.schema.DirectoryAnswer.new_message(
        revision=7, ageMilliseconds=round(age * 1000)
    ).to_bytes()

    def call(*arguments):
        context.now += takes
        return types.SimpleNamespace(body=body)

    context.peers._link.call = call
    context.news = context.peers.ask('127.0.0.2:1', 7)


@behave.then('the view is taken as current at second {second:f}')
def current(context, second):
    assert abs(context.news.confirmed_at - second) < 1e-6, context.news


@behave.given('a listing at revision {revision:d} with entries "{names}"')
def new_listing(context, revision, names):
    context.listing = listing.Listing()
    entries = [listing.Entry(name, revision) for name in names.split()]
    context.listing.replace(entries, revision)


@behave.when('"{changes}" change one after the other')
def change(context, changes):
    for text in changes.split():
        revision = context.listing.revision + 1
        entry = listing.Entry(
            text.lstrip('-'), revision, b'', text.startswith('-')
        )
        context.listing.apply([entry], revision)


@behave.when('{count:d} changes of "{name}" come')
def change_often(context, count, name):
    change(context, ' '.join([name] * count))


@behave.then('who knows revision {revision:d} is told {told}')
def is_told(context, revision, told):
    is_whole, entries = context.listing.changes_since(revision)
    names = ['-' * e.is_deleted + e.key for e in entries]
    kind = 'all' if is_whole else 'changes'
    assert ' '.join([kind, *sorted(names, reverse=not is_whole)]) == told


@behave.given('two gateways run that know one another')
def two(context):
    context.two = context.site.start_two()
    context.site.wait_until(lambda: _watcher(context) is not None)


def _watcher(context):
    """Return the one that watches once the other asks it."""
    sources = [running.directory_source for running, *_ in context.two]
    if sorted(source == 'directory' for source in sources) != [False, True]:
        return None
    return context.two[sources.index('directory')]


def _other(context):
    return next(one for one in context.two if one is not context.watcher)


@behave.when('the operator publishes another version')
def publish(context):
    context.site.publish()


@behave.when('the one that watches is cut from the store')
def cut(context):
    context.watcher = _watcher(context)
    context.watcher[1].there.silence()
    context.watcher[1].back.silence()


@behave.when('the one that watches ends')
def ends(context):
    context.watcher = _watcher(context)
    context.watcher[2]()


def _knows(running, name):
    return running.targets.by_id[name].is_leaving


@behave.then(
    'both gateways know that target "{name}" leaves and use that version'
)
def both_know(context, name):
    both_use(context)
    context.site.wait_until(
        lambda: all(_knows(running, name) for running, *_ in context.two)
    )


@behave.then('one of them watches the store and the other asks it')
def one_asks(context):
    context.watcher = _watcher(context)
    running, *_ = context.watcher
    other, *_ = _other(context)
    assert other.directory_source == str(running.settings.peers)


@behave.then('the other knows that target "{name}" leaves')
def other_knows(context, name):
    other, *_ = _other(context)
    context.site.wait_until(lambda: _knows(other, name))


@behave.then('the other has watched the store by itself')
def by_itself(context):
    other, *_ = _other(context)
    context.site.wait_until(lambda: other.directory_source == 'directory')


@behave.when('target "{name}" starts to drain')
def starts_to_drain(context, name):
    context.site.drain(name)


@behave.when(
    'the operator publishes a configuration with {count:d} more routes'
)
def publish_large(context, count):
    context.watcher = _watcher(context)
    _, path, _ = _other(context)
    context.calls_before = path.there.passed
    for number in range(count):
        context.site.add_route(f'more-{number}', route_type='idempotent')
    context.site.publish()


@behave.then('both gateways use that version')
def both_use(context):
    context.site.wait_until(
        lambda: all(
            running.configuration.version == context.site.version
            for running, *_ in context.two
        )
    )


@behave.then('the one that asks its peer had {calls} calls to the store')
def had_calls(context, calls):
    _, path, _ = _other(context)
    has_called = path.there.passed > context.calls_before
    assert has_called == (calls == 'some'), path.there.passed
