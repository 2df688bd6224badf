"""Steps for completions, over plain HTTP and with the openai client."""

import json

import behave
import openai

from features.support import fleet

TOKENS = 6
CHAT = {'messages': [{'role': 'user', 'content': 'hello'}]}
TEXT = {'prompt': 'hello'}


@behave.when('a completion is requested with the body {text}')
def ask(context, text):
    if text == '5000 open brackets':
        text = '[' * 5000
    context.response = fleet.HTTP.request(
        'POST',
        f'{context.fleet.entries[0].url}/v1/completions',
        body=text,
        headers={'Authorization': f'Bearer {fleet.KEY}'},
    )


@behave.then(
    'the completion response is {status:d} "{code}" for the field "{param}"'
)
def check_error(context, status, code, param):
    response = context.response
    assert response.status == status, response.data
    error = json.loads(response.data)['error']
    assert error['code'] == code, error
    assert str(error['param']) == param, error
    assert error['type'] == 'invalid_request_error', error
    assert response.headers['Kingcupfront-Outcome'] == 'not_run'


@behave.then('no stream engine started a generation')
def check_none(context):
    assert not [g for e in context.engines for g in e.executions()]


@behave.then(
    'the stream engines got the unknown field and no priority below 0'
)
def check_bodies(context):
    rows = [
        body
        for engine in context.engines
        for body in fleet.get(f'{engine.url}/generations')['bodies']
    ]
    assert len(rows) == 2, rows
    assert [r for r in rows if r.get('unheard_of') == {'b': 1.5}], rows
    assert all(r.get('priority', 0) >= 0 for r in rows), rows


def client_of(context, key=fleet.KEY):
    return openai.OpenAI(
        base_url=f'{context.fleet.entries[0].url}/v1',
        api_key=key,
        max_retries=0,
    )


def chat(client, **options):
    options = {'model': 'assistant', 'max_tokens': TOKENS} | CHAT | options
    return client.chat.completions.create(**options)


def text(client, **options):
    options = {'model': 'assistant', 'max_tokens': TOKENS} | TEXT | options
    return client.completions.create(**options)


def faulty(context, **fault):
    for engine in context.engines:
        engine.faults(**fault)
    return client_of(context)


def read(stream):
    words, usage = [], None
    for chunk in stream:
        usage = chunk.usage or usage
        for choice in chunk.choices:
            delta = getattr(choice, 'delta', None)
            words.append(delta.content if delta else choice.text)
    return words, usage


def whole(answer):
    choice = answer.choices[0]
    message = getattr(choice, 'message', None)
    return (message.content if message else choice.text).split(), answer.usage


USAGE = {'stream_options': {'include_usage': True}}
ASKING = {
    'the models': lambda c: client_of(c).models.list().data,
    'a chat completion': lambda c: whole(chat(client_of(c))),
    'a text completion': lambda c: whole(text(client_of(c))),
    'a chat stream': lambda c: read(chat(client_of(c), stream=True)),
    'a text stream': lambda c: read(text(client_of(c), stream=True)),
    'a chat stream with usage': lambda c: read(
        chat(client_of(c), stream=True, **USAGE)
    ),
    'a model that does not exist': lambda c: chat(client_of(c), model='no'),
    'a completion with a wrong key': lambda c: chat(client_of(c, 'no')),
    'a completion with an invalid field': lambda c: chat(
        client_of(c), max_tokens=-1
    ),
    'a completion that all engines refuse': lambda c: chat(
        faulty(c, refuse=True)
    ),
    'a stream that is lost': lambda c: read(
        chat(faulty(c, die_after=3), stream=True)
    ),
}


@behave.when('the openai client requests {what}')
def ask_openai(context, what):
    context.error = context.result = None
    try:
        context.result = ASKING[what](context)
    except openai.APIError as error:
        context.error = error


@behave.then('the openai client gets the model "{name}" only')
def check_models(context, name):
    assert [model.id for model in context.result] == [name], context.result


@behave.then('the openai client gets {count:d} tokens')
def check_tokens(context, count):
    assert context.error is None, context.error
    assert len(context.result[0]) == count, context.result


@behave.then('the openai client gets {count:d} tokens and their usage')
def check_usage(context, count):
    check_tokens(context, count)
    assert context.result[1].completion_tokens == count, context.result


@behave.then('the openai client gets the error {name}')
def check_client_error(context, name):
    assert type(context.error).__name__ == name, repr(context.error)
