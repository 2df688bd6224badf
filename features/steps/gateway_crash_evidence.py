"""Steps for the evidence of which part of prompts crashes engines."""

import random

import behave

from features.support import evidence_simulation
from kingcupfront_gateway import crash_evidence
from kingcupfront_gateway import evidence_exchange
from kingcupfront_gateway import part_records
from kingcupfront_peer import codec

SEED = 23
START = 1000.0
# What the version before names of bounded length took from its peers.
PREVIOUS_MAX_PART_CHARACTERS = 64
PREVIOUS_MAX_CRASH_CHARACTERS = 128


@behave.given('one instance with evidence')
def one_instance(context):
    several_instances(context, 1)


@behave.given('{count:d} instances with evidence')
def several_instances(context, count):
    rng = random.Random(SEED)
    context.rng = rng
    context.instances = [
        crash_evidence.CrashEvidence(f'i{n}', rng.random())
        for n in range(count)
    ]
    context.evidence = context.instances[0]
    context.now = START


def _crash(evidence, text):
    what, _, at = text.partition('@')
    engine, _, parts = what.partition(':')
    at, _, sent = at.partition('<')
    now = START + float(at)
    sent_at = START + float(sent) if sent else START
    evidence.record_crash(engine, parts.split(','), sent_at=sent_at, now=now)
    return now


@behave.when('these crashes are seen: {crashes}')
def crashes_seen(context, crashes):
    for text in crashes.split():
        context.now = _crash(context.evidence, text)


@behave.when('{count:d} engines end with parts that no two have in common')
def unrelated_crashes(context, count):
    for number in range(count):
        _crash(context.evidence, f'o{number}:o{number}@0')


@behave.when('these crashes are seen by one instance each: {crashes}')
def crashes_seen_apart(context, crashes):
    for evidence, text in zip(
        context.instances, crashes.split(), strict=False
    ):
        context.now = _crash(evidence, text)


@behave.when('answers are written on {answers}')
def answers_written(context, answers):
    if answers == '20000 parts':
        for number in range(20000):
            context.evidence.record_written(
                [f'w{number}'], context.now, context.now
            )
        return
    if answers == '-':
        return
    parts, _, at = answers.partition('@')
    context.now = START + float(at)
    context.evidence.record_written(parts.split(','), context.now, context.now)


@behave.then('the blocked groups are "{groups}"')
@behave.then('the blocked groups are ""')
def blocked(context, groups=''):
    context.evidence.settle(context.now + 1)
    found = sorted(
        '+'.join(sorted(g)) for g in context.evidence.blocked_groups
    )
    assert ' '.join(found) == groups, found


@behave.when(
    'for {seconds:d} seconds {rate:d} prompts a second share {firsts:d} first '
    'parts and {seconds_parts:d} second parts'
)
def sound_load(context, seconds, rate, firsts, seconds_parts):
    context.load = (seconds, rate, firsts, seconds_parts)


@behave.when(
    'every {gap:d} seconds an engine ends with {count:d} prompts that have no '
    'event yet'
)
def engines_end(context, gap, count):
    seconds, rate, firsts, seconds_parts = context.load
    rng, evidence = context.rng, context.evidence
    context.was_blocked = False
    for step in range(seconds * rate):
        now = START + step / rate

        def prompt():
            first = int(firsts * rng.random() ** 2)
            return [f'f{first}', f's{rng.randrange(seconds_parts)}']

        evidence.record_written(prompt(), now, now)
        if step % (gap * rate) == 0:
            for _ in range(count):
                evidence.record_crash(
                    f'e{step}', prompt(), sent_at=now - 0.5, now=now
                )
        evidence.settle(now)
        context.was_blocked |= bool(evidence.blocked_groups)


@behave.then('no group was ever blocked')
def never_blocked(context):
    assert not context.was_blocked


@behave.when('{count:d} of them see one crash each by the part "{part}"')
def each_sees_one(context, count, part):
    for number, evidence in enumerate(context.instances[:count]):
        context.now = _crash(evidence, f'e{number}:{part}@{number}')


def _exchange(context, pairs, delay=0.0, jitter=0.0):
    changed = False
    words = [e.shared_records(context.now) for e in context.instances]
    context.now += delay + jitter
    for source, destination in pairs:
        if jitter:
            delay = context.rng.uniform(0, jitter)
        # What a delay on the way does to a time that is told as an age.
        told = {
            part: part_records.PartRecord(
                record.depth,
                record.is_proven,
                record.was_blocked,
                {
                    crash: part_records.Mark(
                        mark.sent_at + delay, mark.at + delay, mark.is_cleared
                    )
                    for crash, mark in record.marks_by_crash.items()
                },
            )
            for part, record in words[source].items()
        }
        changed |= context.instances[destination].merge(told, context.now)
    context.now += 1
    for evidence in context.instances:
        evidence.settle(context.now)
    return changed


def _all_pairs(context):
    count = len(context.instances)
    return [(a, b) for a in range(count) for b in range(count) if a != b]


@behave.when('their words reach all others {how}')
def words_reach(context, how):
    pairs = _all_pairs(context)
    if how == 'in random order':
        context.rng.shuffle(pairs)
    repeats = 3 if how == 'three times' else 1
    for _ in range(repeats):
        _exchange(context, pairs, 90.0 if how == '90 seconds late' else 0.0)


@behave.when('words reach all others with delays of up to {seconds:f} seconds')
def delayed_words(context, seconds):
    for _ in range(3):
        _exchange(context, _all_pairs(context), jitter=seconds)


@behave.then('every instance has blocked "{part}"')
def all_blocked(context, part):
    for evidence in context.instances:
        assert evidence.blocked_groups == {frozenset([part])}, evidence


@behave.then('nothing is new to any instance')
def nothing_new(context):
    assert not _exchange(context, _all_pairs(context))


def _told(parts, engines, age):
    at = START - age
    return {
        part: part_records.PartRecord(
            0,
            marks_by_crash={
                f'e{n}': part_records.Mark(at + n - 1, at + n)
                for n in range(engines)
            },
        )
        for part in parts
    }


WRONG_WORDS = {
    'that 3 engines crashed two hours ago': _told(['p'], 3, 7200),
    'that 3 engines crashed on an id of 5000 characters': _told(
        ['p' * 5000], 3, 5
    ),
    'that a part crashed nothing': _told(['p'], 0, 5),
    'that one crash has 5 parts': _told('pqrst', 1, 5),
}


@behave.when('a peer says {what}')
def peer_says(context, what):
    words = WRONG_WORDS.get(what) or _told(['sound'], 3, 5)
    context.evidence.merge(words, context.now)


@behave.when('all of them know that 3 engines crashed on the part "{part}"')
def all_know(context, part):
    for evidence in context.instances:
        evidence.merge(_told([part], 3, 5), context.now)
        evidence.settle(context.now + 1)


@behave.when(
    'each of them has {rate:d} requests a second with the part for '
    '{seconds:d} seconds'
)
def requests_with_part(context, rate, seconds):
    context.trials = []
    for step in range(seconds * rate):
        context.now = START + step / rate
        for evidence in context.instances:
            group = evidence.blocked_group(['bad'], context.now)
            if evidence.trial_wait(group, context.now) <= 0:
                evidence.start_trial(group, context.now)
                context.trials.append((context.now, evidence))
                # The news needs less than the time between requests.
                _exchange(context, _all_pairs(context))


@behave.then(
    'the trials are at most {count:d} and the first is after {seconds:d} '
    'seconds'
)
def few_trials(context, count, seconds):
    times = [at - START for at, _ in context.trials]
    assert 1 <= len(times) <= count, times
    # The last crash was three seconds before.
    assert times[0] >= seconds - 3, times


@behave.when('a trial succeeds')
def trial_succeeds(context):
    _, evidence = context.trials[-1]
    evidence.record_written(['bad'], context.now + 0.5, context.now + 1)
    _exchange(context, _all_pairs(context))


@behave.then('no instance blocks the part')
def none_blocks(context):
    assert not any(e.blocked_groups for e in context.instances)


@behave.when(
    '{count:d} crashes of {parts:d} parts each are seen, all different'
)
def many_crashes(context, count, parts):
    for number in range(count):
        context.now = START + number / 100
        context.evidence.record_crash(
            f'e{number}',
            [f'p{number}-{n}' for n in range(parts)],
            sent_at=context.now - 0.1,
            now=context.now,
        )


@behave.then('it holds at most {count:d} parts under suspicion')
def bounded(context, count):
    assert len(context.evidence._records_by_part) <= count
    written = context.evidence._written_at_by_part
    assert len(written) <= crash_evidence.MAX_WRITTEN_PARTS


@behave.then('it tells its peers of at most {count:d}')
def bounded_words(context, count):
    assert len(context.evidence.shared_records(context.now)) <= count


@behave.then('after {seconds:d} seconds it holds none')
def forgotten(context, seconds):
    assert not context.evidence.shared_records(context.now + seconds)


@behave.given(
    '{instances:d} instances in {zones:d} data centres that know each other'
)
def spread(context, instances, zones):
    context.size = instances, zones


@behave.given('{part:f} of them are stopped')
def stopped(context, part):
    context.spread = evidence_simulation.Spread(*context.size, part, SEED)


@behave.when('one of them sees a crash')
def one_sees(context):
    context.spread.crash()


@behave.then('{part:f} of the running ones know within {seconds:f} seconds')
def all_informed(context, part, seconds):
    context.seconds = seconds
    context.spread.run(seconds)
    informed, running = context.spread.informed(), len(context.spread.running)
    assert informed >= part * running, (informed, running)


@behave.then('none has sent more than {count:d} bytes a second')
def bytes_bounded(context, count):
    most = max(context.spread.bytes_sent.values()) / context.seconds
    assert most <= count, most


@behave.given('a request with the parts "{parts}" waits at an engine')
def waiting_request(context, parts):
    context.cancelled = []
    context.stack.enter_context(
        context.evidence.calling_when_blocked(
            parts.split(','), lambda: context.cancelled.append(parts)
        )
    )


@behave.when('{seconds:f} seconds later the crash {crash} is seen')
def crash_later(context, seconds, crash):
    context.evidence.settle(context.now + seconds)
    context.now = _crash(
        context.evidence, f'{crash}@{context.now + seconds - START}'
    )


@behave.then('the waiting request was not cancelled')
def not_cancelled(context):
    assert not context.cancelled


def _part(characters, last='f'):
    """Return the name of a part whose id has a length."""
    return part_records.part_name('f' * (characters - 1) + last)


def _start(engine, number):
    """Return the start of one of the engines whose ids have a length."""
    return f'{number:0{engine}d}/1700000000000'


@behave.when(
    '{count:d} of them see a crash each on a part whose id has {part:d} '
    'characters, of engines whose ids have {engine:d}'
)
def long_crashes(context, count, part, engine):
    context.part_characters = part
    for number, evidence in enumerate(context.instances[:count]):
        context.now += 1
        evidence.record_crash(
            _start(engine, number),
            ['team', _part(part)],
            sent_at=context.now - 0.5,
            now=context.now,
        )
        # Sound prompts share the other part.
        evidence.record_written(['team'], context.now, context.now)


def _transmit(context, records):
    body = evidence_exchange.encode(records, '', '', context.now)
    with codec.open_struct(codec.schema.CrashEvidence, body) as message:
        return evidence_exchange.decode(message, context.now)


def _exchange_messages(context):
    changed = False
    for source, destination in _all_pairs(context):
        told = context.instances[source].shared_records(context.now)
        changed |= context.instances[destination].merge(
            _transmit(context, told), context.now
        )
    context.now += 1
    for evidence in context.instances:
        evidence.settle(context.now)
    return changed


@behave.when('their messages reach all others')
def messages_reach(context):
    _exchange_messages(context)


@behave.then('their messages bring nothing new')
def no_news(context):
    # What is blocked is news after the first exchange.
    _exchange_messages(context)
    assert not _exchange_messages(context)


@behave.then('every instance has blocked that part alone')
@behave.then('the instance has blocked that part')
def long_part_blocked(context):
    expected = {frozenset([_part(context.part_characters)])}
    for evidence in context.instances:
        evidence.settle(context.now + 1)
        assert evidence.blocked_groups == expected, evidence.blocked_groups


@behave.then(
    'every instance lets prompts pass with a part whose id differs in its '
    'last character'
)
def similar_part_passes(context):
    other = _part(context.part_characters, last='e')
    for evidence in context.instances:
        assert evidence.blocked_groups
        assert evidence.blocked_group(['team', other], context.now) is None


@behave.given('{count:d} instances with names of {characters:d} characters')
def long_named_instances(context, count, characters):
    several_instances(context, count)
    context.instances = [
        crash_evidence.CrashEvidence(f'{n:0{characters}d}', n / count)
        for n in range(count)
    ]


@behave.when(
    '{count:d} engines whose ids have {engine:d} characters crash on '
    '{parts:d} parts each whose ids have {part:d}'
)
def crashes_of_long_names(context, count, engine, parts, part):
    shared = [_part(part, last=f'{n:x}') for n in range(parts)]
    for number in range(count):
        context.now += 1
        own = [_part(part, last=f'{number}-{n}') for n in range(parts)]
        # Half of the parts are in all prompts.
        context.evidence.record_crash(
            _start(engine, number),
            [*shared[: parts // 2], *own[parts // 2 :]],
            sent_at=context.now - 0.5,
            now=context.now,
        )


@behave.then(
    'its message fits into half of the time-out of a call at {rate:d} Mbit/s'
)
def message_fits(context, rate):
    records = context.evidence.shared_records(context.now)
    body = evidence_exchange.encode(records, '', '', context.now)
    seconds = len(body) * 8 / (rate * 1_000_000)
    assert seconds <= evidence_exchange.CALL_TIMEOUT_SECONDS / 2, len(body)


@behave.then('a peer learns all of it')
def peer_learns(context):
    peer = crash_evidence.CrashEvidence('peer', 0.0)
    told = context.evidence.shared_records(context.now)
    peer.merge(_transmit(context, told), context.now)
    learnt = peer.shared_records(context.now)
    assert {p: r.facts for p, r in learnt.items()} == {
        p: r.facts for p, r in told.items()
    }


@behave.when(
    'a message of the previous version tells of {count:d} crashes on a part '
    'whose id has {part:d} characters, of engines whose ids have {engine:d}'
)
def previous_version_tells(context, count, part, engine):
    context.part_characters = part
    at = context.now - count
    record = part_records.PartRecord(
        0,
        marks_by_crash={
            _start(engine, number): part_records.Mark(at, at + number)
            for number in range(count)
        },
    )
    # It tells ids and names as they are.
    context.evidence.merge(
        _transmit(context, {'f' * part: record}), context.now
    )


@behave.then('the previous version accepts all that the instance tells')
def previous_version_accepts(context):
    records = context.evidence.shared_records(context.now)
    for part_id, record in _read_as_previous(context, records).items():
        assert len(part_id) <= PREVIOUS_MAX_PART_CHARACTERS, part_id
        for crash in record.marks_by_crash:
            assert len(crash) <= PREVIOUS_MAX_CRASH_CHARACTERS, crash


def _read_as_previous(context, records):
    """Return what the previous version reads of a message.

    It does not know of digests, and takes ids and names as they are.
    """
    body = evidence_exchange.encode(records, '', '', context.now)
    with codec.open_struct(codec.schema.CrashEvidence, body) as message:
        return {
            part.id: part_records.PartRecord(
                part.depth,
                part.isProven,
                part.wasBlocked,
                {
                    mark.crash: part_records.Mark(
                        context.now - mark.sentAgeMilliseconds / 1000,
                        context.now - mark.ageMilliseconds / 1000,
                        mark.isCleared,
                    )
                    for mark in part.marks
                },
            )
            for part in message.parts
        }


@behave.given(
    '{previous:d} instances of the previous version and {current:d} of this'
)
def mixed_versions(context, previous, current):
    several_instances(context, previous + current)
    context.previous = context.instances[:previous]


@behave.when(
    'crashes come to them in turn on a part whose id has {part:d} characters'
)
def crashes_in_turn(context, part):
    context.part_characters = part
    # How many crashes came to each, and to all, until it blocked the part.
    context.own_crashes = [0] * len(context.instances)
    context.crashes_to_block = [0] * len(context.instances)
    for number in range(6 * len(context.instances)):
        context.now += 2
        index = number % len(context.instances)
        evidence = context.instances[index]
        # The previous version has parts under their ids.
        part_id = 'f' * part
        if evidence not in context.previous:
            part_id = part_records.part_name(part_id)
        if not evidence.blocked_group([part_id], context.now):
            context.own_crashes[index] += 1
            evidence.record_crash(
                f'engine-{number}/1',
                [part_id],
                sent_at=context.now - 0.5,
                now=context.now,
            )
            context.crashes = number + 1
        _exchange_versions(context)
        for i, other in enumerate(context.instances):
            is_blocked = bool(other.blocked_groups)
            if is_blocked and not context.crashes_to_block[i]:
                context.crashes_to_block[i] = number + 1


def _exchange_versions(context):
    """Let all tell all, as each version reads it."""
    for source, destination in _all_pairs(context):
        told = context.instances[source].shared_records(context.now)
        receiver = context.instances[destination]
        read = _read_as_previous if receiver in context.previous else _transmit
        receiver.merge(read(context, told), context.now)
    context.now += 1
    for evidence in context.instances:
        evidence.settle(context.now)


@behave.then('each of this version blocks it after {count:d} crashes')
def current_block(context, count):
    current = context.crashes_to_block[len(context.previous) :]
    assert current == [count] * len(current), context.crashes_to_block


@behave.then(
    'each of the previous version blocks it after {count:d} of its own at the '
    'most'
)
def previous_block(context, count):
    for index, evidence in enumerate(context.previous):
        assert evidence.blocked_groups, index
        assert context.own_crashes[index] <= count, context.own_crashes


@behave.given('a part that was blocked after three crashes')
def blocked_part(context):
    context.evidence = crash_evidence.CrashEvidence('entry-1', 0.0)
    context.now = 1000.0
    for number in range(3):
        context.now += 10.0
        context.evidence.record_crash(
            f'engine-{number}',
            ['bad'],
            sent_at=context.now - 1.0,
            now=context.now,
        )
    context.now += 2 * crash_evidence.SETTLE_SECONDS
    assert context.evidence.blocked_group(['bad'], context.now)


@behave.when('its records are forgotten after an hour')
def records_are_forgotten(context):
    context.now += crash_evidence.MEMORY_SECONDS + 1
    assert not context.evidence.shared_records(context.now)


@behave.then('a prompt with that part may be sent')
def may_be_sent(context):
    assert context.evidence.blocked_group(['bad'], context.now) is None
