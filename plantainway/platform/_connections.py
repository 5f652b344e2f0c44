"""Client connections that pass on no refusal twice."""

import collections

import aiohttp

from plantainway import loops
from plantainway.platform import _names
from plantainway import sessions

REFUSED_IDS_MAX = 16  # kept by each connection


class StrictResponseHandler(sessions.ResponseHandler):
    """Protocol that does not believe a refusal with an earlier Request-Id.

    It may be a copy, and the request may run.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._refused_ids = collections.deque(maxlen=REFUSED_IDS_MAX)

    def feed_data(self, data, size: int = 0) -> None:
        """Queues the head of an answer unless it is such a refusal.

        Args:
            data: Head and body.
            size: Passed to the base class.
        """
        head = data[0]
        if head.code >= 200 and _names.NOT_EXECUTED in head.headers:
            request_id = head.headers.get(_names.REQUEST_ID)
            if request_id in self._refused_ids:
                self.fail(
                    aiohttp.ClientPayloadError(
                        'second refusal with the same Request-Id'
                    )
                )
                return
            if request_id is not None:
                self._refused_ids.append(request_id)
        super().feed_data(data, size)


class StrictConnector(sessions.Connector):
    """Connector whose connections are ``StrictResponseHandler`` ones.

    Args:
        connect_timeout_s: How long opening a connection may take, in seconds
            in which this process has run.
        options: Passed to the base class.
    """

    protocol_class = StrictResponseHandler

    def __init__(self, connect_timeout_s: float, **options):
        super().__init__(**options)
        self._connect_timeout_s = connect_timeout_s

    async def _wrap_create_connection(self, *args, **options):
        """Opens a connection; the library's limit counts lost time too."""
        async with loops.timeout(self._connect_timeout_s):
            return await super()._wrap_create_connection(*args, **options)
