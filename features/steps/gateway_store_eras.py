"""Steps for the decisions about a store that was restored from a copy."""

import behave

from kingcupfront_core import address
from kingcupfront_decisions import eras
from kingcupfront_decisions import evacuations
from kingcupfront_gateway import listing
from kingcupfront_gateway import objects
from kingcupfront_gateway import targets
from kingcupfront_platform import store


def _number(text):
    return None if text == 'none' else int(text)


@behave.when('the known era is {known:d} and a response names {named}')
def response_names(context, known, named):
    context.order = eras.compare(known, _number(named))


@behave.then('the response is of an era that is {order}')
def is_ordered(context, order):
    assert context.order.value == order, context.order


@behave.when(
    'a peer in era {asked:d} that {reads} eras asks a gateway in era {own}'
)
def peer_asks(context, asked, reads, own):
    era = _number(own)
    context.may_serve = eras.may_serve(
        None if era is None else eras.View(era, 50),
        eras.View(asked, 100),
        reads_eras=reads == 'reads',
    )


@behave.then('the asking peer gets {answer}')
def peer_gets(context, answer):
    assert context.may_serve == (answer == 'the view')


@behave.given(
    'a listing of era {era:d} at revision {revision:d} with entries "{names}"'
)
def listing_of_era(context, era, revision, names):
    context.listing = listing.Listing()
    context.listing.start_era(era)
    context.listing.replace(
        [listing.Entry(name, revision) for name in names.split()], revision
    )


@behave.when('entry "{name}" of it changes {count:d} times')
def entry_changes(context, name, count):
    for _ in range(count):
        revision = context.listing.revision + 1
        context.listing.apply([listing.Entry(name, revision)], revision)


@behave.then(
    'a peer at revision {revision:d} of era {era:d} receives {expected}'
)
def peer_receives(context, revision, era, expected):
    is_snapshot, entries = context.listing.changes_since(revision, era)
    kind = 'all' if is_snapshot else 'changes'
    found = ' '.join([kind, *sorted(entry.key for entry in entries)])
    assert found == expected, found


@behave.when('a response of the store has era headers "{values}"')
@behave.when('a response of the store has era headers ""')
def era_headers(context, values=''):
    context.era = store.read_era(
        [
            (b'Store-Era', value.encode('latin-1'))
            for value in values.split(';')
            if values
        ]
    )


@behave.then('the era of the response is {era}')
def era_read(context, era):
    read = context.era
    found = read.number if read.number is not None else 'absent'
    assert (str(found) if not read.invalid else 'ignored') == era, read


@behave.given(
    'data centre "{zone}" is evacuated and the store is restored at second 0'
)
def evacuated(context, zone):
    context.zone = zone
    context.evacuations = evacuations.Evacuations()
    context.evacuations.start(zone, 100)
    context.evacuations.keep_after_restore(0.0)


@behave.when('the restored directory shows "{event}" at second {at:f}')
@behave.when('the restored directory shows "{event}" at second {at:d}')
def evacuation_event(context, event, at):
    found, zone = context.evacuations, context.zone
    if event == 'it is not listed':
        assert not found.missing([], at)
    elif event == 'it is listed':
        assert not found.start(zone, 40)
    elif event == 'its end is written':
        found.end(zone)
    else:
        found.keep_after_restore(at)


@behave.then('at second {second:f} the evacuation {state}')
@behave.then('at second {second:d} the evacuation {state}')
def evacuation_state(context, second, state):
    found = context.evacuations
    for zone in found.expired(second):
        assert zone in found.missing([], second)
        found.end(zone)
    assert (context.zone in found) == (state == 'stays')


def _target(born, sequence, is_leaving):
    return objects.Target(
        id='a',
        service='plain',
        address=address.Address('127.0.0.1', 1),
        zone='z',
        slots=1,
        is_leaving=is_leaving,
        born=born,
        sequence=sequence,
    )


@behave.given(
    'a target of start {born:d} announced with sequence {sequence:d} that it '
    'leaves'
)
def announced(context, born, sequence):
    context.targets = targets.Targets()
    context.targets.has_eras = True
    context.targets.upsert(_target(born, sequence, True))


@behave.given(
    'a target of a store without eras announced with sequence {sequence:d} '
    'that it leaves'
)
def announced_without_eras(context, sequence):
    context.targets = targets.Targets()
    context.targets.upsert(_target(7, sequence, True))


@behave.when(
    'it is listed as ready with start {born:d} and sequence {sequence:d}'
)
def listed_as_ready(context, born, sequence):
    context.targets.upsert(_target(born, sequence, False))


@behave.when('its entry is removed')
def entry_removed(context):
    context.targets.remove('a', 100.0, 0.0)
    assert 'a' not in context.targets.by_id


@behave.then('the target is listed as {state}')
def target_is(context, state):
    assert context.targets.by_id['a'].is_leaving == (state == 'leaving')
