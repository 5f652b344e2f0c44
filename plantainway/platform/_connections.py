"""Client connections that end when their peer breaks the protocol.

The library reads whatever arrives on a connection, also while no request is
in progress there, and takes the next message for the answer.
"""

import collections
import functools

import aiohttp
from aiohttp import client_proto

from plantainway import loops
from plantainway.platform import _names

INTERIM_ANSWERS_MAX = 16  # upstreams have a reason for one or two
REFUSED_IDS_MAX = 16  # kept by each connection


class StrictResponseHandler(client_proto.ResponseHandler):
    """Protocol that passes on one final answer to each request.

    It ends the connection if there are too many interim answers, which have
    a status of 1xx and precede the final one, and if anything follows the
    final answer before the next request. A refusal with the Request-Id of an
    earlier one is not passed on: it may be a copy, and the request may run.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._interim_answers = 0
        self._has_answer = False
        self._refused_ids = collections.deque(maxlen=REFUSED_IDS_MAX)

    def set_response_params(self, **params) -> None:
        """Prepares for the answer to a new request."""
        self._interim_answers = 0
        self._has_answer = False
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Queues the head of an answer unless it belongs to no request.

        Args:
            data: Head and body.
            size: Passed to the base class.
        """
        head = data[0]
        if self._has_answer:
            self._abort()
        elif 100 <= head.code < 200:
            self._interim_answers += 1
            if self._interim_answers > INTERIM_ANSWERS_MAX:
                self._fail(f'over {INTERIM_ANSWERS_MAX} interim answers')
            else:
                super().feed_data(data, size)
        else:
            self._has_answer = True
            if _names.NOT_EXECUTED in head.headers:
                request_id = head.headers.get(_names.REQUEST_ID)
                if request_id in self._refused_ids:
                    self._fail('second refusal with the same Request-Id')
                    return
                if request_id is not None:
                    self._refused_ids.append(request_id)
            super().feed_data(data, size)

    def _fail(self, reason: str) -> None:
        """Fails the request in progress and ends the connection."""
        self._has_answer = True
        self.set_exception(aiohttp.ClientPayloadError(reason))
        self._abort()

    def _abort(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class StrictConnector(aiohttp.TCPConnector):
    """Connector whose connections are ``StrictResponseHandler`` ones.

    Args:
        connect_timeout_s: How long opening a connection may take, in seconds
            in which this process has run.
        options: Passed to the base class.
    """

    def __init__(self, connect_timeout_s: float, **options):
        super().__init__(**options)
        self._connect_timeout_s = connect_timeout_s
        # The library offers no parameter for the protocol.
        self._factory = functools.partial(
            StrictResponseHandler, loop=self._loop
        )

    async def _wrap_create_connection(self, *args, **options):
        """Opens a connection; the library's limit counts lost time too."""
        async with loops.timeout(self._connect_timeout_s):
            return await super()._wrap_create_connection(*args, **options)
