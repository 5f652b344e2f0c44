"""Client connections that bound what a peer may send before its answer."""

import functools

import aiohttp
from aiohttp import client_proto

INTERIM_ANSWERS_MAX = 16  # upstreams have a reason for one or two


class BoundedResponseHandler(client_proto.ResponseHandler):
    """Protocol that ends a connection with too many interim answers.

    Interim answers have a status of 1xx and precede the final one.
    """

    _interim_answers = 0

    def set_response_params(self, **params) -> None:
        """Prepares for the answer to a new request."""
        self._interim_answers = 0
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Queues the head of an answer, unless there are too many.

        Args:
            data: Head and body.
            size: Passed to the base class.
        """
        if not 100 <= data[0].code < 200:
            super().feed_data(data, size)
            return
        self._interim_answers += 1
        if self._interim_answers <= INTERIM_ANSWERS_MAX:
            super().feed_data(data, size)
        elif self._interim_answers == INTERIM_ANSWERS_MAX + 1:
            self.set_exception(
                aiohttp.ClientPayloadError(
                    f'over {INTERIM_ANSWERS_MAX} interim answers'
                )
            )
            if self.transport is not None:
                self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections are ``BoundedResponseHandler`` ones."""

    def __init__(self, **options):
        super().__init__(**options)
        # The library offers no parameter for the protocol.
        self._factory = functools.partial(
            BoundedResponseHandler, loop=self._loop
        )
