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


def start_fleet(context):
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
    entry_fleet = fleet.Fleet()
    context.add_cleanup(entry_fleet.close, layer='feature')
    entry_fleet.publish(fleet.simple_objects())
    entry_fleet.add_target('engine', 'assistant')
    for _ in range(2):
        entry_fleet.add_entry(callers=listener, peers=peers)
    entry_fleet.wait_ready()
    return entry_fleet, folder


@behave.given('2 entries with TLS for callers and peers')
def given_shared_fleet(context):
    # No scenario changes these entries, so all of them may share them.
    if not hasattr(context.feature, 'secured'):
        context.feature.secured = start_fleet(context)
    context.fleet, context.folder = context.feature.secured


@behave.when('the ask command calls them over TLS with {authority}')
def run_ask(context, authority):
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
def check_whole_answer(context):
    assert context.result.code == 0, context.result.output
    assert len(context.result.stdout.split()) == TOKENS


@behave.then('the command fails without an answer')
def check_no_answer(context):
    assert context.result.code == 1, context.result.output
    assert not context.result.stdout.strip(), context.result.output


@behave.then('a plain HTTP request to the TLS listener receives no answer')
def check_plain_request(context):
    url = f'http://{context.fleet.entries[0].callers}/v1/models'
    try:
        response = fleet.HTTP.request('GET', url, timeout=20)
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError(response.status)
