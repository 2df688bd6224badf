"""Steps for the comparison of routing policies."""

import dataclasses
import pathlib
import tempfile

import behave
import simpy

from kingcupfront_bench import deployment
from kingcupfront_bench import engine_model
from kingcupfront_bench import fleet
from kingcupfront_bench import generation
from kingcupfront_bench import policies_experiment
from kingcupfront_bench import scenario

SHORT = scenario.Faults(flood=(4.0, 6.0), reclaim_at=None, slow=None)


def _run(policy, seconds):
    return fleet.Fleet(
        scenario.Scenario(
            deployment.SOHAR,
            policy,
            0.9,
            7,
            faults=SHORT,
            seconds=seconds,
            warm_up=2.0,
        )
    ).run()


@behave.when(
    'the bench runs {policy} twice for {seconds:d} seconds with one seed'
)
def twice(context, policy, seconds):
    context.runs = [_run(policy, float(seconds)) for _ in range(2)]


@behave.then('both runs of the bench have equal measures')
def equal(context):
    assert context.runs[0] == context.runs[1], context.runs
    assert context.runs[0]['all_tok_s'] > 0


@behave.when('the bench compares {one} and {other} for {seconds:d} seconds')
def compare(context, one, other, seconds):
    context.comparison = policies_experiment.run(
        dataclasses.replace(deployment.SOHAR, capacity=500.0),
        policies=(one, other),
        seeds=(1,),
        faults=SHORT,
        seconds=float(seconds),
        warm_up=2.0,
    )


@behave.then("the bench's table has a column for {one} and {other}")
def table(context, one, other):
    head = context.comparison.table().splitlines()[0]
    assert one in head and other in head, head


@behave.then('the bench wrote a table, CSV and a plot')
def wrote(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.comparison.write(pathlib.Path(folder), 'x')
    names = sorted(path.name for path in pathlib.Path(folder).iterdir())
    assert names == ['x.csv', 'x.md', 'x.png'], names


@behave.given('a modelled engine of {blocks:d} blocks of {tokens:d} tokens')
def given_engine(context, blocks, tokens):
    context.env = simpy.Environment()
    spec = engine_model.EngineSpec(total_blocks=blocks, block_tokens=tokens)
    context.engine = engine_model.EngineModel(
        context.env, spec, lambda seconds, count: None, 0.25
    )
    context.ends = []
    context.first_tokens = []


def _submit(context, prompt, output, prefix=()):
    context.engine.submit(
        generation.Generation(
            prompt,
            output,
            0,
            prefix,
            on_end=context.ends.append,
            on_token=context.first_tokens.append,
        )
    )


@behave.when(
    'the modelled engine gets {count:d} jobs of {prompt:d} prompt and'
    ' {output:d} output tokens'
)
def get_jobs(context, count, prompt, output):
    for _ in range(count):
        _submit(context, prompt, output)
    context.env.run(until=60)


@behave.then('the modelled engine preempted and all {count:d} jobs are whole')
def whole(context, count):
    assert context.engine.preemptions > 0
    assert context.ends == [True] * count, context.ends


@behave.then('the modelled engine has all {count:d} blocks free')
def all_free(context, count):
    assert context.engine.free_blocks == count, context.engine.free_blocks


@behave.when('the modelled engine gets a job with a prefix and then another')
def prefix_jobs(context):
    _submit(context, 1100, 5, tuple(range(8)))
    context.env.run(until=10)
    _submit(context, 1100, 5, tuple(range(8)))
    context.env.run(until=20)


@behave.then("the second job's first token came sooner in the modelled engine")
def sooner(context):
    first, second = context.first_tokens
    assert second - 10 < first / 2, context.first_tokens


@behave.when('the modelled engine dies with {count:d} jobs')
def dies(context, count):
    for _ in range(count):
        _submit(context, 64, 5000)
    context.env.run(until=1)
    context.engine.die()
    context.env.run(until=2)


@behave.then('{count:d} jobs of the modelled engine are lost')
def lost(context, count):
    assert context.ends == [False] * count, context.ends
