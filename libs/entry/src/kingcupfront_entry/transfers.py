"""Transfers of whole sets between entries."""

import collections
import logging
import zlib

import gevent.lock

from kingcupfront_config import delta
from kingcupfront_config import errors as config_errors
from kingcupfront_config import in_force
from kingcupfront_config import lineage
from kingcupfront_config import manifest
from kingcupfront_config import objects
from kingcupfront_core import registry
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import link as links
from kingcupfront_peer import member as members

LOG = logging.getLogger(__name__)
PULL_TIMEOUT_SECONDS = 5.0
MAX_TRANSFERS = 8
KEPT_SETS = 4

encodings: registry.Registry = registry.Registry('encoding of sets')


@encodings.register('whole')
def _whole(before: bytes, data: bytes) -> bytes:
    return data


@encodings.register('change')
def _change(before: bytes, data: bytes) -> bytes:
    return delta.apply(before, data)


class Transfers:
    """Gives sets to peers and takes them, whole or as changes.

    :param link: calls to other entries.
    :param held: the configuration in force.
    """

    def __init__(self, link: links.Link, held: in_force.InForce) -> None:
        self.bytes_given = 0
        self.bytes_taken = 0
        self._link = link
        self._held = held
        self._slots = gevent.lock.BoundedSemaphore(MAX_TRANSFERS)
        self._sets_by_digest: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        held.listeners.append(self._remember)
        link.handlers.register('set')(self._on_request)

    def pull(self, peer: members.Member) -> bytes | None:
        """Return the set in force at a peer, if its revision is higher.

        :param peer: the peer.
        :raises PeerError: if it does not answer.
        :raises BadInputError: if what it sends is damaged.
        """
        body = codec.schema.SetRequest.new_message(
            above=self._held.revision, digest=self._held.digest
        ).to_bytes()
        before = self._held.data
        answer = self._link.call(
            peer.address, 'set', body, PULL_TIMEOUT_SECONDS
        )
        self.bytes_taken += len(answer.body)
        with codec.open_struct(codec.schema.SetAnswer, answer.body) as found:
            if not found.revision:
                return None
            data = _inflate(bytes(found.data))
            result = encodings.get(found.encoding)(before, data)
            if lineage.digest(result) != found.digest:
                raise config_errors.ConfigError('the digest is wrong')
            return result

    def _on_request(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.SetRequest, message.body) as asked:
            above, digest = asked.above, asked.digest
        answer = codec.schema.SetAnswer.new_message()
        if self._held.revision > above:
            if not self._slots.acquire(blocking=False):
                raise errors.BusyError('too many transfers')
            try:
                self._fill(answer, digest)
            finally:
                self._slots.release()
        data = answer.to_bytes()
        self.bytes_given += len(data)
        return data

    def _fill(self, answer: codec.Message, digest: str) -> None:
        data = self._held.data
        before = self._sets_by_digest.get(digest)
        answer.encoding = 'whole'
        if before is not None:
            data = delta.encode(before, data)
            answer.encoding = 'change'
        answer.revision = self._held.revision
        answer.digest = self._held.digest
        answer.data = zlib.compress(data)

    def _remember(self, current: objects.ObjectSet) -> None:
        self._sets_by_digest[self._held.digest] = self._held.data
        while len(self._sets_by_digest) > KEPT_SETS:
            self._sets_by_digest.popitem(last=False)


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        result = inflater.decompress(data, manifest.MAX_SET_BYTES)
    except zlib.error as error:
        raise config_errors.ConfigError('a damaged transfer') from error
    if not inflater.eof:
        raise config_errors.ConfigError('a transfer that is too large')
    return result
