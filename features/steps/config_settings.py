"""Steps for settings."""

import pathlib
import tempfile

import behave
import trustme

from features.support import command

EXAMPLE = pathlib.Path('examples/los-santos/settings/entry-guanacaste-1.json')


def write(context, text):
    found = tempfile.TemporaryDirectory()
    context.stack.callback(found.cleanup)
    context.folder = pathlib.Path(found.name)
    context.settings = context.folder / 'settings.json'
    context.settings.write_text(text)


@behave.given('the settings file of an example, with {old} changed to {new}')
def changed(context, old, new):
    text = EXAMPLE.read_text()
    assert old in text, old
    write(context, text.replace(old, new))


@behave.given(
    'the settings file of an example, with TLS whose {name} is {state}'
)
def with_tls(context, name, state):
    write(context, EXAMPLE.read_text())
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    paths = {
        n: context.folder / n for n in ('certificate', 'key', 'authority')
    }
    issued.cert_chain_pems[0].write_to_path(paths['certificate'])
    issued.private_key_pem.write_to_path(paths['key'])
    authority.cert_pem.write_to_path(paths['authority'])
    if state == 'missing':
        paths[name].unlink()
    elif state == 'empty':
        paths[name].write_text('')
    elif state == 'other':
        other = authority.issue_cert('127.0.0.2')
        other.private_key_pem.write_to_path(paths[name])
    pairs = ', '.join(f'"{n}": "{path}"' for n, path in paths.items())
    text = context.settings.read_text()
    context.settings.write_text(
        text.replace('10:7000"}', f'10:7000", "tls": {{{pairs}}}}}')
    )


@behave.when('the settings command checks the file')
def check_settings(context):
    context.result = command.run('settings', context.settings)


@behave.then('the settings command ends with {code:d} and says "{text}"')
def ended(context, code, text):
    output = context.result.output
    assert context.result.code == code, output
    assert text in output, output
    assert 'Traceback' not in output, output
    assert 'replace-this-example-secret' not in output, output
