"""Steps for the pages."""

import pathlib
import re

import behave

from kingcupfront_cli import main

ALARMS = pathlib.Path('docs/operations/alarms.md')
LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')
METRIC = re.compile(r"'(kingcupfront_[a-z_]+)'")
# Names of the same form that are no metrics.
PACKAGES = {path.name for path in pathlib.Path('libs').glob('*/src/*')}


@behave.then('no page has a link to a file that is not there')
def links(context):
    pages = [pathlib.Path('README.md'), pathlib.Path('CHANGELOG.md')]
    pages += pathlib.Path('docs').rglob('*.md')
    missing = [
        f'{page}: {link}'
        for page in pages
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not missing, missing


@behave.then('the page of alarms names every metric in the code')
def metrics(context):
    text = ALARMS.read_text()
    names = {
        name
        for path in pathlib.Path('libs').rglob('*.py')
        for name in METRIC.findall(path.read_text())
    }
    missing = sorted(n for n in names - PACKAGES if n not in text)
    assert not missing, missing


@behave.then('the README names every command')
def commands(context):
    text = pathlib.Path('README.md').read_text()
    for name in main.MODULES_BY_COMMAND:
        assert f'`kingcupfront {name}' in text, name
