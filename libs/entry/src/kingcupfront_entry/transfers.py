"""Transfers of configuration sets between entries, in full or as deltas."""

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
MAX_RETAINED_SETS = 4

encodings: registry.Registry = registry.Registry('encoding of sets')


@encodings.register('whole')
def _apply_whole(base: bytes, data: bytes) -> bytes:
    return data


@encodings.register('change')
def _apply_change(base: bytes, data: bytes) -> bytes:
    return delta.apply(base, data)


class SetTransfers:
    """Pulls sets from peers and answers their pulls.

    A set is sent as a delta if the sender still has the one that the receiver
    has in force, else in full.

    :param link: the link to other entries.
    :param current: the configuration in force.
    """

    def __init__(self, link: links.Link, current: in_force.InForce) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        self._link = link
        self._in_force = current
        self._transfer_slots = gevent.lock.BoundedSemaphore(MAX_TRANSFERS)
        self._sets_by_digest: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        current.listeners.append(self._retain_set)
        link.handlers.register('set')(self._on_request)

    def pull(self, peer: members.Member) -> bytes | None:
        """Return the set in force at a peer, None if it is not newer.

        :param peer: the peer.
        :raises PeerError: if the peer does not answer.
        :raises BadInputError: if the answer is damaged.
        """
        body = codec.schema.SetRequest.new_message(
            above=self._in_force.revision, digest=self._in_force.digest
        ).to_bytes()
        base = self._in_force.data
        answer = self._link.call(
            peer.address, 'set', body, PULL_TIMEOUT_SECONDS
        )
        self.bytes_received += len(answer.body)
        with codec.open_struct(codec.schema.SetAnswer, answer.body) as found:
            if not found.revision:
                return None
            data = _decompress(bytes(found.data))
            result = encodings.get(found.encoding)(base, data)
            if lineage.digest(result) != found.digest:
                raise config_errors.ConfigError(
                    'the transferred set does not have the digest '
                    f'{found.digest} that the peer gave'
                )
            return result

    def _on_request(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.SetRequest, message.body) as asked:
            above, digest = asked.above, asked.digest
        answer = codec.schema.SetAnswer.new_message()
        if self._in_force.revision > above:
            if not self._transfer_slots.acquire(blocking=False):
                raise errors.BusyError(
                    f'{MAX_TRANSFERS} transfers of sets are in progress'
                )
            try:
                self._fill_answer(answer, digest)
            finally:
                self._transfer_slots.release()
        data = answer.to_bytes()
        self.bytes_sent += len(data)
        return data

    def _fill_answer(self, answer: codec.Message, digest: str) -> None:
        data = self._in_force.data
        base = self._sets_by_digest.get(digest)
        answer.encoding = 'whole'
        if base is not None:
            data = delta.encode(base, data)
            answer.encoding = 'change'
        answer.revision = self._in_force.revision
        answer.digest = self._in_force.digest
        answer.data = zlib.compress(data)

    def _retain_set(self, current: objects.ObjectSet) -> None:
        self._sets_by_digest[self._in_force.digest] = self._in_force.data
        while len(self._sets_by_digest) > MAX_RETAINED_SETS:
            self._sets_by_digest.popitem(last=False)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, manifest.MAX_SET_BYTES)
    except zlib.error as error:
        raise config_errors.ConfigError(
            f'cannot decompress a transferred set: {error}'
        ) from error
    if not decompressor.eof:
        raise config_errors.ConfigError(
            'a transferred set is truncated or exceeds '
            f'{manifest.MAX_SET_BYTES} bytes'
        )
    return result
