"""Steps for estimates of output lengths."""

import behave

from kingcupfront_route import length_estimator


@behave.given(
    'a router has seen {short_count:d} requests of {short:d} tokens and'
    ' {long_count:d} of {long:d}'
)
def given_estimator(context, short_count, short, long_count, long):
    context.estimator = length_estimator.LengthEstimator()
    for tokens, count in ((long, long_count), (short, short_count)):
        for _ in range(count):
            context.estimator.record('generate', 'a', None, tokens)
    for _ in range(8 if short_count else 0):
        context.estimator.record('generate', 'a', None, short)


@behave.when(
    '{generated:d} tokens were generated, the router expects about {left:d}'
    ' more'
)
def check_remaining(context, generated, left):
    found = context.estimator.expected_remaining(
        'generate', 'a', None, generated
    )
    assert abs(found - left) <= 0.15 * left, found


@behave.then(
    'the router expects {tokens:d} tokens of a request limited to'
    ' {max_tokens:d}'
)
def check_limited(context, tokens, max_tokens):
    assert (
        context.estimator.expected_remaining('generate', 'b', max_tokens)
        == tokens
    )
