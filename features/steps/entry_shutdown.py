"""Steps for the graceful shutdown of entries."""

import json
import random
import signal

import behave
import gevent
import urllib3

from features.support import actions
from features.support import fleet
from features.support import shutdown_work

STOP_SECONDS = 60
LONG_NOTICE_SECONDS = 1.5
SHORT_LIFETIME_SECONDS = 6.0
AFTER_NOTICE_SECONDS = 1.5
DEADLINE_SECONDS = 0.5
READINESS_POLL_SECONDS = 0.05
ROLLING_NOTICE_SECONDS = 0.5


@behave.given('a fleet of entries for a shutdown')
def start_fleet(context):
    context.execute_steps('Given a fleet for actions')


def wait_exit(entry):
    assert entry.popen.wait(STOP_SECONDS) == 0, entry.text()


@behave.when('an entry is told to stop during {work}')
def stop_during(context, work):
    context.task = shutdown_work.works.get(work)(context.actions)


@behave.then('the work was completed and the entry exited with 0')
def check_work(context):
    assert context.task.get()
    wait_exit(context.actions.fleet.entries[1])


@behave.when('an entry is told to stop with a long notice')
def stop_with_notice(context):
    context.entry = context.actions.restart(
        1, drain_notice_seconds=LONG_NOTICE_SECONDS
    )
    shutdown_work.stop(context.actions)


@behave.then(
    'it is not ready, still answers, closes connections and issues no permits'
)
def check_draining(context):
    entry, world = context.entry, context.actions
    assert not fleet.ready(entry)
    refusal = world.permits(entry, status=503)
    assert actions.code(refusal) == 'draining', refusal.data
    response = world.act(entry, '', world.body())
    assert actions.outcome(response) == 'done'
    assert response.headers['Connection'] == 'close', response.headers
    wait_exit(entry)


@behave.when('an entry is told to stop while it owns an unused permit')
def stop_with_permit(context):
    world = context.actions
    context.key = world.permits(
        world.fleet.entries[1], lifetime_seconds=SHORT_LIFETIME_SECONDS
    )[0]
    shutdown_work.stop(world)


@behave.then('the permit can still be used through another entry')
def check_permit_usable(context):
    world = context.actions
    body = world.body()
    gevent.sleep(AFTER_NOTICE_SECONDS)
    for _ in range(2):
        response = world.act(world.fleet.entries[2], context.key, body)
        assert actions.outcome(response) == 'done', response.data
    assert world.runs(body) == 1


@behave.then('the entry exits after the key has expired')
def check_exit(context):
    wait_exit(context.actions.fleet.entries[1])


@behave.when(
    'an entry that owns an unused permit receives a second signal during an '
    'action'
)
def send_second_signal(context):
    world = context.actions
    world.permits(world.fleet.entries[1])
    context.task = shutdown_work.held(world, world.fleet.entries[1], '')
    world.fleet.entries[1].kill(signal.SIGTERM)


@behave.then('the action was completed and the entry exited with 0')
def check_action(context):
    check_work(context)


@behave.when(
    'an entry with a deadline is told to stop during an action that does not '
    'end'
)
def stop_with_deadline(context):
    world = context.actions
    context.body = world.body()
    context.entry = world.restart(1, drain_deadline_seconds=DEADLINE_SECONDS)
    key = world.permits(context.entry)[0]
    world.plain.faults(hold=True)
    context.task = world.begin(world.fleet.entries[2], key, context.body)
    world.started(context.body)
    shutdown_work.stop(world)


@behave.then(
    "the entry exited with 0 and the action's caller was not told "
    '"{outcome}"'
)
def check_deadline(context, outcome):
    wait_exit(context.entry)
    context.actions.plain.faults(hold=False)
    assert actions.outcome(context.task.get()) == 'unknown' != outcome
    assert context.actions.runs(context.body) == 1


def is_ready(entry):
    try:
        return fleet.ready(entry)
    except urllib3.exceptions.HTTPError:
        return False


class Load:
    """Runs streams and actions through the entries that are ready."""

    def __init__(self, world):
        self.world = world
        self.ready_entries = list(world.fleet.entries)
        self.stopping = False
        self.streams = []
        self.actions = []
        self.unexpected_bodies = []
        self.refused = 0
        self._rng = random.Random(1)

    def poll_readiness(self):
        while not self.stopping:
            entries = list(self.world.fleet.entries)
            self.ready_entries = [e for e in entries if is_ready(e)]
            gevent.sleep(READINESS_POLL_SECONDS)

    def run_streams(self):
        while not self.stopping:
            entry = self._rng.choice(self.ready_entries)
            self.streams.append(shutdown_work.stream(entry))

    def request_permit(self):
        while True:
            response = fleet.ask(
                self._rng.choice(self.ready_entries),
                '/v1/permits',
                {'count': 1},
            )
            if response.status == 200:
                return json.loads(response.data)['permits'][0]['key']
            # The last readiness check is older than the drain, so the caller
            # asks another entry.
            assert actions.code(response) == 'draining', response.data
            self.refused += 1

    def run_actions(self):
        while not self.stopping:
            key = self.request_permit()
            body = self.world.body()
            entry = self._rng.choice(self.ready_entries)
            response = self.world.act(entry, key, body)
            self.actions.append((body, actions.outcome(response)))
            if actions.outcome(response) != 'done':
                self.unexpected_bodies.append(response.data)

    def start(self):
        loops = [
            self.poll_readiness,
            self.run_streams,
            self.run_streams,
            self.run_actions,
            self.run_actions,
        ]
        return [gevent.spawn(loop) for loop in loops]


def replace_entry(world, number):
    old = world.fleet.entries[number]
    new = world.fleet.add_entry(
        f'{old.name}-new', drain_notice_seconds=ROLLING_NOTICE_SECONDS
    )
    fleet.until(lambda: fleet.ready(new), 'the replacement is ready')
    fleet.until(
        lambda: new.dump()['targets'], 'the replacement knows the targets'
    )
    old.kill(signal.SIGTERM)
    wait_exit(old)
    world.fleet.entries.remove(old)


def deregister_ended(world, names):
    """Take entries that have ended off the list, and wait for that.

    An entry refuses a claim as long as a listed entry cannot be asked, so rows
    that stay would end the claims of later scenarios at once.
    """
    entries = world.fleet.entries
    ended = set(names) - {entry.name for entry in entries}
    for name in ended:
        world.fleet.deregister(name)
    for entry in entries:
        if entry.popen.poll() is not None:
            # It could not be started again.
            continue
        fleet.until(
            lambda e=entry: ended.isdisjoint(
                row['id'] for row in e.dump()['parts']['list']['instances']
            ),
            'ended entries are off the list',
        )


@behave.when('all entries are replaced one by one during streams and actions')
def roll_entries(context):
    world = context.actions
    names = [entry.name for entry in world.fleet.entries]
    context.add_cleanup(deregister_ended, world, names)
    for number in range(3):
        world.restart(number, drain_notice_seconds=ROLLING_NOTICE_SECONDS)
    context.load = Load(world)
    tasks = context.load.start()
    for _ in range(3):
        replace_entry(world, 0)
    context.load.stopping = True
    for task in tasks:
        task.get()


@behave.then('every stream and action was completed and each action ran once')
def check_load(context):
    load = context.load
    assert load.streams and all(load.streams), load.streams
    assert load.actions and not load.unexpected_bodies, load.unexpected_bodies
    runs = {context.actions.runs(body) for body, _ in load.actions}
    assert runs == {1}, runs
    print(
        f'streams={len(load.streams)} actions={len(load.actions)} cut=0 '
        f'permits_refused={load.refused}'
    )
