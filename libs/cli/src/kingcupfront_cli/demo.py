"""The main job with no other set-up, in one process."""

from collections.abc import Iterator
import contextlib
import dataclasses
import json
import typing

import gevent
import typer

from kingcupfront_cli import caller
from kingcupfront_config import objects
from kingcupfront_config import publication
from kingcupfront_config import settings
from kingcupfront_core import address
from kingcupfront_core import errors
from kingcupfront_core import logs
from kingcupfront_core import team_key
from kingcupfront_entry import process
from kingcupfront_standin import engine
from kingcupfront_standin import listener
from kingcupfront_standin import plain
from kingcupfront_standin import platform
from kingcupfront_stream import engine as engine_client

app = typer.Typer()

LOOPBACK = address.Address('127.0.0.1', 0)
READY_SECONDS = 10.0
POLL_SECONDS = 0.02
TOKENS = 40
CUT_AFTER = TOKENS // 2
ENTRIES = 2
DISPATCHES_PATH = '/services/register/dispatches'


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The parts of the demonstration, all in this process.

    :param key: the team's API key.
    :param entries: base URLs of the entries.
    :param engine_address: where the model engine listens.
    :param plain: the stand-in of a plain service.
    """

    key: str
    entries: list[str]
    engine_address: address.Address
    plain: plain.PlainService


@app.command()
def demo() -> None:
    """Serve a streamed review and an action, and cut a connection.

    Two entries and stand-ins of an engine, a plain service and the
    platform run in this process, on free ports of the loopback device.
    """
    logs.set_up(level='ERROR')
    with _deployment() as parts:
        client = caller.Caller(parts.entries, parts.key)
        whole = _review(client)
        ran = _dispatch(parts)
        _measures(client, parts)
    if not (whole and ran):
        raise typer.Exit(1)


def _review(client: caller.Caller) -> bool:
    print(f'A review of {TOKENS} tokens; the connection is cut half-way:')
    body = {
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': 'Review this batch.'}],
        'max_tokens': TOKENS,
    }
    numbers = []
    for text in client.stream(body, cut_after=CUT_AFTER):
        print(f'  {text.strip()}', end='', flush=True)
        numbers.append(text.strip().rpartition('-')[2])
        if len(numbers) == CUT_AFTER:
            print('\n  -- connection cut; resumed through the other entry --')
    whole = numbers == [str(n + 1) for n in range(TOKENS)]
    print(
        f'\n  {len(numbers)} tokens over {client.arrivals.connections} '
        f'connections, each once and in order: {_yes(whole)}\n'
    )
    return whole


def _dispatch(parts: Deployment) -> bool:
    print('A dispatch, sent twice with one key, through both entries:')
    body = json.dumps({'lot': 7}).encode()
    callers = [caller.Caller([url], parts.key) for url in parts.entries]
    answer = callers[0].call('POST', '/v1/permits', b'{"count": 1}')
    permit = json.loads(answer.data)['permits'][0]['key']
    outcomes = []
    for client in callers:
        response = client.call(
            'POST', DISPATCHES_PATH, body, {'Idempotency-Key': permit}
        )
        outcomes.append(response.headers.get('Kingcupfront-Outcome'))
    count = len(parts.plain.executions)
    print(f'  outcomes {", ".join(map(str, outcomes))}')
    print(f'  the service ran it {count} time(s)\n')
    return set(outcomes) == {'done'} and count == 1


def _measures(client: caller.Caller, parts: Deployment) -> None:
    arrivals = client.arrivals
    print('Measures:')
    print(f'  stall time     {arrivals.stalled:.3f} s')
    print(f'  preemptions    {_preemptions(parts)}')
    print(f'  token gap p99  {arrivals.gap_quantile(0.99) * 1000:.1f} ms')


def _preemptions(parts: Deployment) -> int:
    load = engine_client.EngineClient().load(parts.engine_address)
    return int(load['preemptions'])


def _yes(value: bool) -> str:
    return 'yes' if value else 'no'


@contextlib.contextmanager
def _deployment() -> Iterator[Deployment]:
    service, store = plain.PlainService(), platform.Platform()
    key = team_key.generate()
    with contextlib.ExitStack() as stack:

        def serve(part: typing.Any) -> address.Address:
            return stack.enter_context(listener.serving(part.app, LOOPBACK))

        where = serve(store)
        model = serve(engine.Engine())
        _register(store, 'engine-1', 'assistant', model)
        _register(store, 'register-1', 'register', serve(service))
        value = publication.compose(_objects(key), revision=1, based_on=0)
        store.write('kingcupfront/objects', value)
        secret = team_key.generate()
        running = []
        for number in range(ENTRIES):
            options = _settings(f'entry-{number + 1}', where, secret)
            bound = stack.enter_context(process.running(options))
            _register(store, options.instance, 'kingcupfront', bound.peers)
            running.append(bound)
        _wait_ready(running)
        urls = [f'http://{bound.callers}' for bound in running]
        yield Deployment(key, urls, model, service)


def _wait_ready(running: list[process.RunningEntry]) -> None:
    try:
        with gevent.Timeout(READY_SECONDS):
            while not all(_ready(bound) for bound in running):
                gevent.sleep(POLL_SECONDS)
    except gevent.Timeout as error:
        raise errors.TimedOutError('the entries are not ready') from error


def _ready(bound: process.RunningEntry) -> bool:
    return bound.state.ready and len(bound.state.router.targets_by_id) >= 2


def _settings(
    name: str, store: address.Address, secret: str
) -> settings.Settings:
    listening = {'address': LOOPBACK}
    return settings.Settings.model_validate(
        {
            'instance': name,
            'place': 'here',
            'callers': listening,
            'administration': listening,
            'peers': listening,
            'platform': {'configuration': store, 'instances': store},
            'secrets': [secret],
        }
    )


def _register(
    store: platform.Platform, name: str, service: str, where: address.Address
) -> None:
    store.register(
        {
            'ID': name,
            'Service': 'kingcupfront-instances',
            'Address': where.host,
            'Port': where.port,
            'Meta': {'service': service, 'place': 'here'},
        }
    )


def _objects(key: str) -> list[typing.Any]:
    return [
        objects.Place(kind='place', name='here', region='here'),
        objects.Model(kind='model', name='large'),
        objects.Service(
            kind='service', name='assistant', type='model', model='large'
        ),
        objects.Service(kind='service', name='register', type='plain'),
        objects.Team(
            kind='team',
            name='one',
            key_hashes=(team_key.digest(key),),
            services=('assistant', 'register'),
        ),
    ]
