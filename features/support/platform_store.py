"""A stand-in of the platform's store: items, pages, watches and faults."""

import base64
import copy
import json
from urllib import parse

import gevent
from gevent import event
from gevent import pywsgi

PAGE_ITEMS = 3
HISTORY_ITEMS = 1000


class Store:
    """Holds items by key and answers reads and watches.

    ``fault`` is one of '', 'busy', 'many', 'silent', 'garbage'.
    """

    def __init__(self):
        self.values_by_key = {}
        self.revisions_by_key = {}
        self.history = []
        self.revision = 100
        self.fault = ''
        self.forgotten = 0
        self.calls = []
        # The headers of all responses; the era of a store that has eras.
        self.era_fields = []
        self.era = 0
        # Called with each path before it is answered.
        self.on_call = lambda path: None
        self._changed = event.Event()

    def put(self, key, value):
        """Write a value: an object, or bytes as they are."""
        self.revision += 1
        text = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.values_by_key[key] = base64.b64encode(text).decode()
        self.revisions_by_key[key] = self.revision
        self._note(self._item(key))

    def delete(self, key):
        self.revision += 1
        self.values_by_key.pop(key, None)
        self._note({'key': key, 'revision': self.revision, 'deleted': True})

    def count_eras(self, era=0):
        """Name the era in every response from now on."""
        self.era = era
        self.era_fields = [('Store-Era', str(era))]

    def copy(self):
        """Return a copy of the contents, for :meth:`restore`."""
        return copy.deepcopy(
            (
                self.values_by_key,
                self.revisions_by_key,
                self.history,
                self.revision,
            )
        )

    def restore(self, copied):
        """Go back to a copy; what was written since is lost."""
        (
            self.values_by_key,
            self.revisions_by_key,
            self.history,
            self.revision,
        ) = copy.deepcopy(copied)
        self.count_eras(self.era + 1)
        self._changed.set()
        self._changed.clear()

    def forget(self):
        """Drop the history, as after a compaction."""
        self.history.clear()
        self.forgotten = self.revision
        self._changed.set()
        self._changed.clear()

    def _note(self, change):
        self.history.append(change)
        del self.history[:-HISTORY_ITEMS]
        self._changed.set()
        self._changed.clear()

    def _item(self, key):
        return {
            'key': key,
            'value': self.values_by_key[key],
            'revision': self.revisions_by_key[key],
            'created': self.revisions_by_key[key],
            'lease': 0,
        }

    def serve(self, stack):
        """Listen until the stack ends; return the address."""
        server = pywsgi.WSGIServer(('127.0.0.1', 0), self._handle, log=None)
        server.start()
        stack.callback(server.stop, 0)
        return f'127.0.0.1:{server.server_port}'

    def _handle(self, environ, start):
        path = environ['PATH_INFO']
        query = dict(parse.parse_qsl(environ['QUERY_STRING']))
        self.calls.append(path)
        self.on_call(path)
        if self.fault == 'silent':
            gevent.sleep(30)
        status, body = self._answer(path, query)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        start(
            f'{status} X',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(data))),
                *self.era_fields,
            ],
        )
        return [data]

    def _answer(self, path, query):
        if self.fault == 'busy':
            return 503, {}
        if self.fault == 'many':
            return 429, {}
        if self.fault == 'garbage':
            return 200, b'{"items": 7'
        if path == '/v1/kv-range':
            return 200, self._range(query)
        if path == '/v1/kv-watch':
            return self._watch(query)
        return 404, {}

    def _range(self, query):
        keys = sorted(
            key
            for key in self.values_by_key
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        return {
            'items': [self._item(key) for key in keys[:PAGE_ITEMS]],
            'has_more': len(keys) > PAGE_ITEMS,
            'at': self.revision,
        }

    def _watch(self, query):
        after = int(query['after'])
        end = int(query['wait_ms']) / 1000
        with gevent.Timeout(end, False):
            while self._is_quiet(after):
                self._changed.wait()
        if after < self.forgotten or after > self.revision:
            return 410, {}
        if self.fault:
            return 503, {}
        events = self._since(after)
        return 200, {
            'events': events,
            'at': max([e['revision'] for e in events], default=after),
        }

    def _is_quiet(self, after):
        is_known = self.forgotten <= after <= self.revision
        is_known = is_known and not self.fault
        return is_known and not self._since(after)

    def _since(self, after):
        return [c for c in self.history if c['revision'] > after]
