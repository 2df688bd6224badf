"""Steps for TLS on the listeners of an entry."""

import pathlib
import shutil
import tempfile

import behave
import trustme
import urllib3

from features.support import command
from features.support import fleet

TOKENS = 5


def start(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder, layer='feature')
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    issued.cert_chain_pems[0].write_to_path(folder / 'certificate')
    issued.private_key_pem.write_to_path(folder / 'key')
    authority.cert_pem.write_to_path(folder / 'authority')
    trustme.CA().cert_pem.write_to_path(folder / 'other')
    files = {name: str(folder / name) for name in ('certificate', 'key')}
    listener = {'address': '127.0.0.1:0', 'tls': files}
    mutual = files | {'authority': str(folder / 'authority')}
    peers = {'address': '127.0.0.1:0', 'tls': mutual}
    made = fleet.Fleet()
    context.add_cleanup(made.close, layer='feature')
    made.publish(fleet.simple_objects())
    made.add_target('engine', 'assistant')
    for _ in range(2):
        made.add_entry(callers=listener, peers=peers)
    made.wait_ready()
    return made, folder


@behave.given('2 entries with TLS for callers and peers')
def shared(context):
    # Nothing changes them, so that all scenarios may look at the same ones.
    if not hasattr(context.feature, 'secured'):
        context.feature.secured = start(context)
    context.fleet, context.folder = context.feature.secured


@behave.when('the ask command calls them over TLS with {authority}')
def ask(context, authority):
    names = {'their authority': 'authority', 'another authority': 'other'}
    options = []
    if authority in names:
        options = ['--authority', context.folder / names[authority]]
    for entry in context.fleet.entries:
        options += ['--entry', f'https://{entry.callers}']
    context.result = command.run(
        *('ask', 'hello', '--model', 'assistant', '--key', fleet.KEY),
        *('--max-tokens', TOKENS, *options),
    )


@behave.then('the command receives the whole answer over TLS')
def whole(context):
    assert context.result.code == 0, context.result.output
    assert len(context.result.stdout.split()) == TOKENS


@behave.then('the command fails without an answer')
def refused(context):
    assert context.result.code == 1, context.result.output
    assert not context.result.stdout.strip(), context.result.output


@behave.then('a plain HTTP request to the TLS listener receives no answer')
def plain(context):
    url = f'http://{context.fleet.entries[0].callers}/v1/models'
    try:
        response = fleet.HTTP.request('GET', url, timeout=20)
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError(response.status)
