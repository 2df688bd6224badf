"""Steps for decisions on the software versions of streams."""

import random
import time
import types
from unittest import mock

import behave
import gevent

from kingcupfront_core import address as addresses
from kingcupfront_core import errors as core_errors
from kingcupfront_decisions import software_versions
from kingcupfront_gateway import members
from kingcupfront_gateway import origin_exchange
from kingcupfront_gateway import stream_origins

NOW = 1000.0
SEED = 11
PATIENT_SECONDS = 10.0
V1 = software_versions.Begun('v1', 'a/1')


def _version(text):
    return None if text == 'unknown' else text


@behave.then(
    'a stream that {began} may be carried on by version "{version}": {may}'
)
def may_carry_on(context, began, version, may):
    begun = None
    if began != 'has no event yet':
        begun = software_versions.Begun(_version(began.split()[0]))
    found = software_versions.may_carry_on(begun, _version(version))
    assert found == (may == 'yes'), found


@behave.given('no recorded stream')
def no_records(context):
    context.origins = software_versions.Origins()


@behave.when('the streams "{records}" are recorded')
def record(context, records):
    for text in records.split():
        stream, _, rest = text.partition('=')
        version, _, second = rest.partition('@')
        begun = software_versions.Begun(_version(version))
        context.origins.record(stream, begun, float(second))


@behave.then('at second {second:d} stream "{stream}" is known as "{known}"')
def known_as(context, second, stream, known):
    found = context.origins.find(stream, float(second))
    expected = None
    if known != 'not':
        expected = software_versions.Begun(_version(known))
    assert found == expected, found


@behave.when('{count:d} streams are recorded, one a millisecond')
def record_many(context, count):
    for number in range(count):
        context.origins.record(f's{number}', V1, number / 1000)
    context.recorded = count


@behave.then('the records hold {count:d} streams')
def hold(context, count):
    assert len(context.origins) == count, len(context.origins)


@behave.then('the first recorded stream is not known and the last one is')
def first_and_last(context):
    now = context.recorded / 1000
    assert context.origins.find('s0', now) is None
    assert context.origins.find(f's{context.recorded - 1}', now) is not None


@behave.then('the streams since second {second:d} are "{streams}"')
def streams_since(context, second, streams):
    found = context.origins.since(float(second))
    assert sorted(found) == streams.split(), found


@behave.given('no listed versions')
def no_versions(context):
    context.history = software_versions.History()


@behave.when('the versions "" are listed and removed')
@behave.when('the versions "{changes}" are listed and removed')
def list_versions(context, changes=''):
    for text in changes.split():
        name, _, second = text[1:].partition('@')
        service, _, version = name.partition('/')
        if text.startswith('+'):
            context.history.add(service, _version(version))
        else:
            context.history.remove(service, _version(version), float(second))


@behave.then(
    'since second {second:d} the only version of "{service}" is "{sole}"'
)
def only_version(context, second, service, sole):
    found = context.history.sole_version(
        [service], float(second), float(second)
    )
    expected = None if sole == 'none' else software_versions.Begun(sole)
    assert found == expected, found


class _Network:
    """Calls between exchanges in one process; gateways may have ended.

    Those in ``silent`` do not answer.
    """

    def __init__(self):
        self.silent = set()
        self.exchanges = {}
        self.handlers = {}
        self.ended = set()

    def link(self, own):
        handlers = self.handlers.setdefault(own, {})

        def register(method):
            return lambda handler: handlers.setdefault(method, handler)

        def call(address, method, body, timeout):
            to = str(address)
            if to in self.silent:
                gevent.sleep(PATIENT_SECONDS)
            if to in self.ended:
                raise core_errors.KingcupfrontError(f'{to} has ended')
            message = types.SimpleNamespace(body=body)
            answer = self.handlers[to][method](message)
            return types.SimpleNamespace(body=answer)

        return types.SimpleNamespace(
            handlers=types.SimpleNamespace(register=register), call=call
        )


def _add_exchange(network, own, zone, known):
    process = types.SimpleNamespace(
        settings=types.SimpleNamespace(
            zone=zone, peers=addresses.Address.parse(own)
        ),
        clock=types.SimpleNamespace(monotonic=lambda: NOW),
        rng=random.Random(f'{SEED} {own}'),
        stream_origins=software_versions.Origins(),
        targets=types.SimpleNamespace(
            listed_since=None, versions=software_versions.History()
        ),
    )
    exchange = origin_exchange.OriginExchange(
        process, network.link(own), known
    )
    network.exchanges[own] = process, exchange


@behave.given('a data centre of {count:d} gateways and another of {other:d}')
def two_centres(context, count, other):
    # The loss of records is looked at, and not how fast this machine is.
    for name in ('CALL_TIMEOUT_SECONDS', 'FORWARDED_TIMEOUT_SECONDS'):
        patch = mock.patch.object(origin_exchange, name, PATIENT_SECONDS)
        context.stack.enter_context(patch)
    context.network = _Network()
    context.centres = [
        [f'10.0.{zone}.{n}:8748' for n in range(size)]
        for zone, size in enumerate((count, other))
    ]
    _add_centres(context)


def _add_centres(context):
    for zone, own_centre in enumerate(context.centres):
        for own in own_centre:
            known = members.Members(own, f'z{zone}')
            for of, centre in enumerate(context.centres):
                for one in centre:
                    known.record_seen(one, f'z{of}', NOW)
            _add_exchange(context.network, own, f'z{zone}', known)


@behave.when(
    'the exchange of each gateway sends the records of {count:d} streams'
)
def send_records(context, count):
    context.sent = []
    for own in context.centres[0]:
        process, exchange = context.network.exchanges[own]
        records = {f'{own}/{n}': V1 for n in range(count)}
        for stream_id in records:
            process.stream_origins.record(stream_id, V1, NOW)
        context.sent += records
        for stream_id, begun in records.items():
            exchange.publish(stream_id, begun)
        sending = gevent.spawn(exchange.run)
        gevent.sleep(0)
        gevent.idle()
        sending.kill()


@behave.when('{count:d} of the first 100 gateways end')
def end_gateways(context, count):
    rng = random.Random(SEED)
    context.network.ended |= set(rng.sample(context.centres[0], count))


@behave.then(
    'at least {share:d} % of the records remain in the first data centre'
)
def remain_in_first(context, share):
    """Check the holders alone: the gateways that began streams count not."""
    living = set(context.centres[0]) - context.network.ended
    remaining = 0
    for stream_id in context.sent:
        holders = living - {stream_id.partition('/')[0]}
        remaining += any(
            context.network.exchanges[a][0].stream_origins.find(stream_id, NOW)
            for a in holders
        )
    found = 100 * remaining / len(context.sent)
    assert found >= share, found


def _share_found(context, centre):
    rng = random.Random(SEED + 1)
    living = [a for a in centre if a not in context.network.ended]
    found = 0
    for stream_id in context.sent:
        process, exchange = context.network.exchanges[rng.choice(living)]
        begun = process.stream_origins.find(stream_id, NOW)
        if begun is None:
            begun = exchange.ask(stream_id, ['s'], 6.0).begun
        found += begun == V1
    return 100 * found / len(context.sent)


@behave.then(
    'at least {share:d} % of the records are found from the first data centre'
)
def found_in_first(context, share):
    found = _share_found(context, context.centres[0])
    assert found >= share, found


@behave.then(
    'at least {share:d} % of the records are found from the other data centre'
)
def found_in_other(context, share):
    found = _share_found(context, context.centres[1])
    assert found >= share, found


@behave.given(
    'the data centre of a gateway with records "{near}" and one with "{far}"'
)
def centres_with_records(context, near, far):
    context.network = _Network()
    context.centres = [['10.0.0.0:8748'], []]
    texts = {}
    for zone, records in enumerate((near, far)):
        for number, text in enumerate(records.split(), 1):
            address = f'10.0.{zone}.{number}:8748'
            context.centres[zone].append(address)
            texts[address] = text
    _add_centres(context)
    for address, text in texts.items():
        process, _ = context.network.exchanges[address]
        if text == 'silent':
            context.network.silent.add(address)
        elif text != 'not':
            begun = software_versions.Begun(_version(text))
            process.stream_origins.record('s', begun, NOW)


@behave.when('that gateway asks for the stream')
def ask_for_stream(context):
    _, exchange = context.network.exchanges['10.0.0.0:8748']
    start = time.monotonic()
    context.found = exchange.ask('s', ['s'], 6.0).begun
    context.asked_seconds = time.monotonic() - start


@behave.then('the stream is known to it as "{known}"')
def known_to_it(context, known):
    expected = None
    if known != 'not':
        expected = software_versions.Begun(_version(known))
    assert context.found == expected, context.found


@behave.then('the answer took less than {seconds:g} seconds')
def answer_took(context, seconds):
    assert context.asked_seconds < seconds, context.asked_seconds


@behave.given(
    'a gateway that has listed only version "{version}" of "{service}" for '
    '{hours:d} hours'
)
def listing_gateway(context, version, service, hours):
    history = software_versions.History()
    history.add(service, version)
    now = NOW + 3600 * hours
    context.process = types.SimpleNamespace(
        clock=types.SimpleNamespace(monotonic=lambda: now),
        freshness=types.SimpleNamespace(age=lambda _: 0.5),
        targets=types.SimpleNamespace(listed_since=NOW, versions=history),
    )


@behave.then(
    'the only version of "{service}" in the last {seconds:d} seconds is '
    '"{sole}"'
)
def only_version_in(context, service, seconds, sole):
    found = stream_origins.sole_version(context.process, [service], seconds)
    expected = None if sole == 'none' else software_versions.Begun(sole)
    assert found == expected, found
