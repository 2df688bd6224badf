"""The platform's services over the HTTP interface of Consul.

Values are read at ``/v1/kv/KEY`` and instances at ``/v1/health/state/any``
joined in the catalogue form ``/v1/health/service/NAME``, both as blocking
queries by index (``index`` and ``wait``).
"""

import base64
import binascii
import json
import typing

import urllib3

from kingcupfront_config import errors
from kingcupfront_config import instance_list
from kingcupfront_config import settings
from kingcupfront_config import source
from kingcupfront_core import address
from kingcupfront_core import strict_replies

CONNECT_TIMEOUT_SECONDS = 1.0
READ_MARGIN_SECONDS = 5.0
MAX_BODY_BYTES = 8 * 1024 * 1024
TARGETS_SERVICE = 'kingcupfront-instances'


@source.sources.register('consul')
class ConsulSource:
    """Reads Consul's key-value store and service health.

    :param platform: where the services are.
    """

    def __init__(self, platform: settings.Platform) -> None:
        self._platform = platform
        self._pool = strict_replies.PoolManager(maxsize=4, retries=False)

    def read(self, key: str, index: int, wait_seconds: float) -> source.Value:
        """Return a value, waiting until its index passes ``index``."""
        base = f'http://{self._platform.configuration}'
        status, fresh, body = self._get(
            f'{base}/v1/kv/{key}', index, wait_seconds
        )
        if status == 404:
            return source.Value(fresh, None)
        try:
            row = json.loads(body)[0]
            data = base64.b64decode(row['Value'])
        except (ValueError, LookupError, TypeError, binascii.Error) as error:
            raise errors.SourceError(f'bad answer for {key}') from error
        return source.Value(fresh, data)

    def instances(self, index: int, wait_seconds: float) -> source.Listing:
        """Return the list, waiting until its index passes ``index``."""
        base = f'http://{self._platform.instances}'
        _, fresh, body = self._get(
            f'{base}/v1/health/service/{TARGETS_SERVICE}', index, wait_seconds
        )
        try:
            rows = tuple(_instance(row['Service']) for row in json.loads(body))
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            raise errors.SourceError('bad instance list') from error
        return source.Listing(fresh, rows)

    def _get(
        self, url: str, index: int, wait_seconds: float
    ) -> tuple[int, int, bytes]:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS,
            read=wait_seconds + READ_MARGIN_SECONDS,
        )
        fields = {'index': str(index), 'wait': f'{wait_seconds}s'}
        try:
            with self._pool.request(
                'GET',
                url,
                fields=fields,
                timeout=timeout,
                preload_content=False,
            ) as response:
                body = response.read(MAX_BODY_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.SourceError(f'{url}: {error}') from error
        if response.status not in (200, 404) or len(body) > MAX_BODY_BYTES:
            raise errors.SourceError(f'{url}: status {response.status}')
        fresh = response.headers.get('X-Consul-Index', '0')
        if not fresh.isdigit():
            raise errors.SourceError(f'{url}: bad index {fresh!r}')
        return response.status, int(fresh), body


def _instance(row: dict[str, typing.Any]) -> instance_list.Instance:
    meta = row.get('Meta') or {}
    return instance_list.Instance(
        id=row['ID'],
        service=meta['service'],
        place=meta.get('place', ''),
        address=address.Address(row['Address'], int(row['Port'])),
        leaving=meta.get('leaving') == 'true',
        slots=int(meta.get('slots', 32)),
    )
