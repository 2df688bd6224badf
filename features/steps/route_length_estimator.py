"""Steps for expected lengths."""

import behave

from kingcupfront_route import length_estimator


@behave.given(
    'router lengths with {few:d} jobs of {short:d} tokens and {many:d} of'
    ' {long:d}'
)
def given_lengths(context, few, short, many, long):
    context.estimator = length_estimator.LengthEstimator()
    for tokens, count in ((long, many), (short, few)):
        for _ in range(count):
            context.estimator.record('generate', 'a', None, tokens)
    for _ in range(8 if few else 0):
        context.estimator.record('generate', 'a', None, short)


@behave.when(
    '{generated:d} tokens are there, the router expects about {left:d}'
)
def expects(context, generated, left):
    found = context.estimator.expected_remaining(
        'generate', 'a', None, generated
    )
    assert abs(found - left) <= 0.15 * left, found


@behave.then(
    'the router expects {tokens:d} tokens of a job bounded by {bound:d}'
)
def bounded(context, tokens, bound):
    assert (
        context.estimator.expected_remaining('generate', 'b', bound) == tokens
    )
