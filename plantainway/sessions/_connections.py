"""Client connections that pass on valid responses only."""

import functools

import aiohttp
from aiohttp import client_proto

from plantainway.sessions import _responses


class ResponseHandler(client_proto.ResponseHandler):
    """Protocol that passes on one valid response to each request.

    It ends the connection if a response is not valid, and if anything follows
    a response before the next request. In the first case the request in
    progress fails with ``InvalidResponseError``, before its response was
    passed on or while its body is read.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._normalizer = None
        self._is_ending = False

    def set_response_params(
        self, *, skip_payload: bool = False, **params
    ) -> None:
        """Prepares for the response to a new request.

        Args:
            skip_payload: Whether the response has no body.
            params: Passed to the base class.
        """
        self._normalizer = _responses.ResponseNormalizer(not skip_payload)
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived, if it is valid, from its normal form.

        Args:
            data: The bytes, empty to go on with what was left unparsed.
        """
        # Bytes before the first request are kept and passed here again.
        if not data or self._normalizer is None:
            super().data_received(data)
            return
        if self._is_ending:
            return
        try:
            normalized = self._normalizer.receive(data)
        except _responses.InvalidResponseError as exc:
            self.fail(exc)
            return
        if normalized:
            super().data_received(normalized)
        if self._normalizer.rest:
            self._end()

    def fail(self, exc: aiohttp.ClientError) -> None:
        """Fails the request in progress and ends the connection.

        Args:
            exc: The error that its caller gets.
        """
        payload = self._unfinished_payload()
        self.set_exception(exc)
        if payload is not None:
            payload.set_exception(exc)
        self._is_ending = True
        self._abort()

    def _end(self) -> None:
        """Ends the connection once its response is parsed."""
        self._is_ending = True
        self.force_close()
        payload = self._unfinished_payload()
        if payload is None:
            self._abort()
        else:
            payload.on_eof(self._abort)

    def _unfinished_payload(self):
        """Returns the body that is being parsed, ``None`` if there is none.

        One that has ended may belong to an earlier request.
        """
        payload = self._payload
        return None if payload is None or payload.is_eof() else payload

    def _abort(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Connector with protocols of ``protocol_class``.

    Args:
        options: Passed to the base class.
    """

    protocol_class = ResponseHandler

    def __init__(self, **options):
        super().__init__(**options)
        # The library offers no parameter for the protocol.
        self._factory = functools.partial(self.protocol_class, loop=self._loop)
