"""A caller that gets its whole answer although connections break."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import random
import time
import typing

import urllib3

from kingcupfront_core import errors
from kingcupfront_core import strict_replies
from kingcupfront_stream import sse

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 30.0
READ_BYTES = 65536
MAX_ATTEMPTS = 10
BACK_OFF_SECONDS = 0.2
STALL_SECONDS = 1.0
PATH = '/v1/chat/completions'
RESUME_PATH = '/v1/streams'
DONE = b'[DONE]'


class AnswerError(errors.KingcupfrontError):
    """An answer that ended before it was whole.

    :param message: what the entry said.
    :param code: the entry's code of the failure.
    """

    def __init__(self, message: str, code: str) -> None:
        super().__init__(f'{message} [{code}]')
        self.code = code


class CutError(errors.KingcupfrontError):
    """A connection that ended before the answer did."""

    code = 'connection_cut'


@dataclasses.dataclass
class Arrivals:
    """When the tokens of one answer arrived.

    :param gaps: waits between tokens, in seconds.
    :param first: the wait for the first token, in seconds.
    :param tokens: how many arrived.
    :param connections: connections that were needed.
    """

    gaps: list[float] = dataclasses.field(default_factory=list)
    first: float = 0.0
    tokens: int = 0
    connections: int = 0

    @property
    def stalled(self) -> float:
        """The sum of the gaps of over a second, in seconds."""
        return sum(gap for gap in self.gaps if gap > STALL_SECONDS)

    def gap_quantile(self, fraction: float) -> float:
        """Return the gap at a fraction from 0 to 1, in seconds."""
        if not self.gaps:
            return 0.0
        ordered = sorted(self.gaps)
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


class Caller:
    """Asks entries, and goes on at another one when a connection is cut.

    :param entries: base URLs, such as ``http://127.0.0.1:7000``.
    :param key: the team's API key.
    :param authority: path of the authority that signs for entries, if not
        one that the system knows.
    """

    def __init__(
        self, entries: Sequence[str], key: str, *, authority: str | None = None
    ) -> None:
        self._entries = list(entries)
        self._headers = {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
            'Kingcupfront-On-Leave': 'keep',
        }
        self._pool = strict_replies.PoolManager(
            retries=False,
            ca_certs=authority,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
            ),
        )
        self._event_id = ''
        self._last_at = 0.0
        self.arrivals = Arrivals()

    def stream(
        self, body: dict[str, typing.Any], *, cut_after: int | None = None
    ) -> Iterator[str]:
        """Yield the texts of an answer, each token once and in order.

        :param body: the request of the OpenAI API.
        :param cut_after: drop the connection after so many tokens, once.
        :raises AnswerError: if an entry says that there is no more.
        :raises CutError: if no entry could be reached in all attempts.
        """
        self.arrivals, self._event_id = Arrivals(), ''
        self._last_at = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            try:
                with contextlib.closing(self._events(attempt, body)) as events:
                    for event in events:
                        self._note()
                        yield _text(event)
                        if self.arrivals.tokens == cut_after:
                            cut_after = None
                            break
                    else:
                        return
            except CutError:
                time.sleep(random.uniform(0, BACK_OFF_SECONDS))
        raise CutError(f'no whole answer in {MAX_ATTEMPTS} connections')

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Call a plain service once and return its answer.

        :param method: the HTTP method.
        :param path: the path, such as ``/services/NAME/PATH``.
        :param body: the body.
        :param headers: headers besides those of every call.
        :raises CutError: if there is no answer; it may have run.
        """
        try:
            return self._pool.request(
                method,
                self._entries[0] + path,
                body=body,
                headers=self._headers | (headers or {}),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise CutError(str(error)) from error

    def _note(self) -> None:
        now = time.monotonic()
        gap, self._last_at = now - self._last_at, now
        if self.arrivals.tokens:
            self.arrivals.gaps.append(gap)
        else:
            self.arrivals.first = gap
        self.arrivals.tokens += 1

    def _events(
        self, attempt: int, body: dict[str, typing.Any]
    ) -> Iterator[sse.Event]:
        self.arrivals.connections += 1
        base = self._entries[attempt % len(self._entries)]
        try:
            response = self._open(base, body)
            try:
                self._refuse_failure(response)
                yield from self._read(response)
            finally:
                response.close()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise CutError(str(error)) from error

    def _open(
        self, base: str, body: dict[str, typing.Any]
    ) -> urllib3.BaseHTTPResponse:
        if self._event_id:
            return self._pool.request(
                'GET',
                base + RESUME_PATH,
                headers=self._headers | {'Last-Event-ID': self._event_id},
                preload_content=False,
            )
        return self._pool.request(
            'POST',
            base + PATH,
            body=json.dumps(body | {'stream': True}),
            headers=self._headers,
            preload_content=False,
        )

    def _refuse_failure(self, response: urllib3.BaseHTTPResponse) -> None:
        if response.status == 200:
            return
        data = response.read(READ_BYTES)
        if response.status in (429, 502, 503):
            raise CutError(f'status {response.status}: {data!r}')
        raise _failure(data)

    def _read(self, response: urllib3.BaseHTTPResponse) -> Iterator[sse.Event]:
        parser = sse.Parser()
        while data := response.read1(READ_BYTES):
            for event in parser.feed(data):
                if event.data == DONE:
                    return
                if event.type == b'error':
                    raise _failure(event.data)
                if event.id:
                    self._follow(event.id.decode())
                    yield event
        raise CutError('the stream has no end')

    def _follow(self, event_id: str) -> None:
        number = int(event_id.rpartition('.')[2])
        last = int(self._event_id.rpartition('.')[2] or 0)
        if number != last + 1:
            raise AnswerError(f'token {number} after {last}', 'out_of_order')
        self._event_id = event_id


def _text(event: sse.Event) -> str:
    choice = json.loads(event.data)['choices'][0]
    return choice.get('text') or choice.get('delta', {}).get('content') or ''


def _failure(data: bytes) -> AnswerError:
    try:
        error = json.loads(data)['error']
        return AnswerError(str(error['message']), str(error['code']))
    except (ValueError, LookupError, TypeError):
        return AnswerError(repr(data[:200]), 'bad_answer')
