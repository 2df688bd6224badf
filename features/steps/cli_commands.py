"""Steps for the command line."""

import hashlib
import json
import os
import pathlib
import re
import shutil
import tempfile
from unittest import mock

import behave
import gevent
from gevent import server
from gevent import socket

from features.support import command
from features.support import fleet
from kingcupfront_config import in_force
from kingcupfront_config import manifest

EXAMPLE = pathlib.Path('examples/sohar/objects')


@behave.when('the command {line} runs')
def run(context, line):
    context.result = command.run(*line.split())


@behave.when(
    'the command {line} runs with the address of the configuration service'
)
def run_with_service(context, line):
    place = context.fleet.platform.address
    context.result = command.run(
        *(place if word == 'STORE' else word for word in line.split())
    )


@behave.then('the command ends with {code:d} and shows "{text}"')
def ended(context, code, text):
    output = context.result.output
    assert context.result.code == code, (context.result.code, output)
    assert text in ' '.join(output.split()), output
    assert 'Traceback' not in output, output


@behave.when('{old} becomes {new} in the objects of an example')
def edit(context, old, new):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.stack.callback(shutil.rmtree, folder)
    for path in EXAMPLE.glob('*.json'):
        text = path.read_text().replace(old, new, 1)
        (folder / path.name).write_text(text)
    context.result = command.run('diff', EXAMPLE, folder)


@behave.then('the diff names one change of {where} and expects "{effect}"')
def one_change(context, where, effect):
    output = context.result.stdout
    assert output.startswith(where), output
    assert effect in output, output
    assert output.endswith('1 changes\n'), output


@behave.when('set 1, set 2 made from it and set 3 made from that are composed')
def compose_three(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.stack.callback(shutil.rmtree, folder)
    context.sets, base = [], ('--based-on', 0)
    for number in (1, 2, 3):
        result = command.run('compose', EXAMPLE, '--revision', number, *base)
        assert result.code == 0, result.output
        context.sets.append(result.stdout.encode())
        path = folder / f'{number}.json'
        path.write_bytes(context.sets[-1])
        base = ('--base', path)


@behave.then('set 3 names both in its history')
def history(context):
    value = json.loads(context.sets[2])
    assert value['based_on'] == 2, value['based_on']
    assert [row['revision'] for row in value['history']] == [2, 1]


@behave.then('an entry that holds set 1 takes set 3')
def takes(context):
    held = in_force.InForce()
    assert held.offer(context.sets[0])
    assert held.offer(context.sets[2]), held.refusal


@behave.given('an example set with {count:d} more models')
def large_set(context, count):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.stack.callback(shutil.rmtree, context.folder)
    shutil.copytree(EXAMPLE, context.folder / 'objects')
    rows = [
        {'kind': 'model', 'name': f'more-{n}', 'version': 'x' * 500}
        for n in range(count)
    ]
    path = context.folder / 'objects' / 'more.json'
    path.write_text(json.dumps(rows))


def compose(context, *options):
    where = context.folder / 'objects'
    numbers = ('--revision', 2, '--based-on', 1)
    return command.run('compose', where, *numbers, *options)


@behave.then('compose refuses to write it as one value')
def too_large(context):
    result = compose(context)
    assert result.code == 2, result.output
    assert not result.stdout, result.stdout
    assert '--parts' in result.stderr, result.stderr


@behave.then('compose writes parts that make the same set again')
def parts(context):
    result = compose(context, '--parts', context.folder / 'parts')
    assert result.code == 0, result.output
    rows = [line.split() for line in result.stdout.splitlines()]
    values = {key: pathlib.Path(path).read_bytes() for path, key in rows}
    assert list(values)[-1] == 'kingcupfront/objects', list(values)
    whole = manifest.assemble(values['kingcupfront/objects'], values.get)
    assert len(json.loads(whole)['objects']) == 3020


@behave.then('the printed hash is that of the printed key')
def key_and_hash(context):
    key, known = re.findall(r': +(\S+)', context.result.stdout)
    assert hashlib.sha256(key.encode()).hexdigest() == known


@behave.then('the demonstration went over 2 connections and ran one action')
def demonstrated(context):
    output = context.result.stdout
    assert 'over 2 connections, each once and in order: yes' in output
    assert 'outcomes done, done' in output, output
    assert 'the service ran it 1 time(s)' in output, output


class CuttingProxy:
    """Passes bytes to an entry and cuts the first stream half-way."""

    def __init__(self, target, tokens):
        host, port = target.rsplit(':', 1)
        self.target = host, int(port)
        self.tokens = tokens
        self.listener = server.StreamServer(('127.0.0.1', 0), self.serve)
        self.listener.start()
        self.url = f'http://127.0.0.1:{self.listener.server_port}'

    def serve(self, near, address):
        with socket.create_connection(self.target) as far:
            copier = gevent.spawn(self.copy, near, far)
            seen = 0
            while data := far.recv(65536):
                near.sendall(data)
                seen += data.count(b'\ndata: ')
                if seen >= self.tokens:
                    break
            near.shutdown(socket.SHUT_RDWR)
            copier.kill()

    @staticmethod
    def copy(near, far):
        while data := near.recv(65536):
            far.sendall(data)


@behave.given(
    '2 entries, of which the first cuts streams after {tokens:d} tokens'
)
def two_entries(context, tokens):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.publish(fleet.simple_objects())
    context.fleet.add_target('engine', 'assistant')
    for _ in range(2):
        context.fleet.add_entry()
    context.fleet.wait_ready()
    proxy = CuttingProxy(context.fleet.entries[0].callers, tokens)
    context.stack.callback(proxy.listener.stop)
    context.urls = [proxy.url, context.fleet.entries[1].url]


def ask(context, *, model='assistant', key=fleet.KEY, tokens=12):
    entries = [part for url in context.urls for part in ('--entry', url)]
    changes = {'KINGCUPFRONT_KEY': key} if key else {}
    with mock.patch.dict(os.environ, changes):
        context.result = command.run(
            *('ask', 'hello', '--model', model, *entries),
            *('--max-tokens', tokens),
        )


@behave.when('the ask command asks both for {tokens:d} tokens')
def ask_both(context, tokens):
    ask(context, tokens=tokens)


@behave.when('the ask command asks with {fault}')
def ask_badly(context, fault):
    changes = {
        'a wrong key': {'key': 'wrong'},
        'an unknown model': {'model': 'other'},
        'no key': {'key': None},
    }
    ask(context, **changes[fault])


@behave.then(
    'it prints tokens 1 to {tokens:d} of one generation and ends with 0'
)
def printed(context, tokens):
    assert context.result.code == 0, context.result.output
    words = context.result.stdout.split()
    generation = words[0].rpartition('-')[0]
    assert words == [f'{generation}-{n + 1}' for n in range(tokens)], words
    assert ' 2 connections' in context.result.stderr, context.result.stderr


@behave.then('the status command shows both as ready')
def status_table(context):
    addresses = [entry.admin for entry in context.fleet.entries]
    result = command.run('status', *addresses)
    assert result.code == 0, result.output
    assert len(re.findall(r'east +True +1 ', result.stdout)) == 2, result


@behave.then('the dump command shows the state without secrets')
def dump(context):
    result = command.run('dump', context.fleet.entries[0].admin)
    assert json.loads(result.stdout)['ready'] is True
    assert fleet.SECRET not in result.stdout
    digest = hashlib.sha256(fleet.KEY.encode()).hexdigest()
    assert digest not in result.stdout
