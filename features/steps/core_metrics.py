"""Steps for the metrics of a process."""

import pathlib
import subprocess
import sys

import behave
from prometheus_client import parser

from kingcupfront_core import exposition
from kingcupfront_core import metrics

PROGRAM = """
import sys
from kingcupfront_core import logs
from kingcupfront_gateway import process
from kingcupfront_platform import dialect
print(' '.join(sys.modules))
"""


@behave.given(
    'a process with a counter, a counter with labels, a histogram and a gauge'
)
def some_metrics(context):
    found = metrics.Metrics()
    context.metrics = found
    context.plain = found.counter('plain', 'A counter.')
    context.labelled = found.counter('labelled', 'With labels.', ('outcome',))
    context.waits = found.histogram('waits_seconds', 'A histogram.')
    found.gauge('room', 'A gauge.', lambda: 7.0)


@behave.when('its metrics are used and read as text')
def use_metrics(context):
    context.plain.inc(amount=2)
    context.labelled.inc(('done',))
    context.labelled.inc(('lost',), amount=3)
    for seconds in (0.25, 0.5):
        context.waits.record(seconds)
    text = exposition.text(context.metrics.snapshot()).decode()
    context.values = {
        (sample.name, *sample.labels.items()): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


@behave.then('a parser of the format finds these samples')
def finds_samples(context):
    for row in context.table:
        labels = [tuple(row['labels'].split('='))] if row['labels'] else []
        value = context.values[(row['sample'], *labels)]
        assert value == float(row['value']), (row, value)


@behave.then('the state dump shows the same counters')
def same_counters(context):
    assert context.metrics.as_dict()['counters'] == {
        'plain_total{}': 2,
        'labelled_total{done}': 1,
        'labelled_total{lost}': 3,
    }


@behave.then('counting without a label is an error that names the labels')
def missing_label(context):
    try:
        context.labelled.inc()
    except ValueError as error:
        assert 'outcome' in str(error), error
    else:
        raise AssertionError('no error')


@behave.when('the modules of a gateway are imported in a new interpreter')
def import_modules(context):
    _import(context, PROGRAM)


@behave.when('the module "{name}" is imported in a new interpreter')
def import_module(context, name):
    program = f'import sys, kingcupfront_core.{name}'
    _import(context, f"{program}\nprint(' '.join(sys.modules))")


def _import(context, statements):
    # Without the environment's own start-up files, which import others.
    paths = [path for path in sys.path if path]
    program = f'import sys; sys.path[:] = {paths!r}\n{statements}'
    found = subprocess.run(
        [sys.executable, '-S', '-c', program],
        capture_output=True,
        check=True,
        text=True,
    )
    context.modules = found.stdout.split()


@behave.then('the module "{name}" is not among the loaded ones')
def module_not_loaded(context, name):
    assert f'kingcupfront_core.{name}' not in context.modules


@behave.then('neither module names the other')
def no_import(context):
    folder = pathlib.Path(metrics.__file__).parent
    for name, other in (
        ('metrics', 'exposition'),
        ('exposition', 'metrics'),
    ):
        text = (folder / f'{name}.py').read_text()
        assert f'from kingcupfront_core import {other}\n' not in text, name


@behave.then('a snapshot keeps its values when the metrics change')
def snapshot_stays(context):
    snapshot = context.metrics.snapshot()
    before = exposition.text(snapshot)
    context.plain.inc()
    context.labelled.inc(('new',))
    context.waits.record(1.0)
    assert exposition.text(snapshot) == before
    assert exposition.text(context.metrics.snapshot()) != before


@behave.then('these modules are not among the loaded ones')
def not_loaded(context):
    for row in context.table:
        assert row['module'] not in context.modules, row['module']


@behave.then(
    "the text of the gateway's metrics counts {count:d} request with status "
    '{status:d}'
)
def gateway_text(context, count, status):
    site = context.site
    with site.connection(site.settings.readiness) as line:
        line.request('GET', '/metrics')
        text = line.getresponse().read().decode()
    found = [
        sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
        if sample.labels.get('status') == str(status)
    ]
    assert found == [count], text
