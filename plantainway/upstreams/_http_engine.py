"""HTTP client of a model engine."""

import dataclasses
import math
import time
import typing

import aiohttp
from aiohttp import http
import pydantic

from plantainway import errors
from plantainway import loops
from plantainway import sessions
from plantainway.upstreams import _connecting
from plantainway.upstreams import _engine

STATE_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 3.0
EVENT_MAX_BYTES = 65536
STATE_MAX_BYTES = 1 << 20
REASON_MAX_BYTES = 65536  # of a refused order
COPY_HEADER = 'X-Replica'
TOKEN_HEADER = 'X-Fencing-Token'
ATTEMPT_HEADER = 'X-Attempt'
CALLER_HEADER = 'X-Caller'
DEADLINE_HEADER = 'X-Deadline-Ms'
PRIORITY_HEADER = 'X-Priority'
REQUEST_HEADER = 'X-Request-Id'
_MS_PER_S = 1000
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_GONE = 410
_CALL_ERRORS = (
    aiohttp.ClientError,
    http.HttpProcessingError,  # an event without an end
    TimeoutError,
    OSError,
    ValueError,
)
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)  # it has one of its own
_STATE_ADAPTER = pydantic.TypeAdapter(_engine.EngineState)
_END_DATA = b'[DONE]'


class HttpEngine(_engine.BaseEngine):
    """Engine client over HTTP, as docs/design/interfaces.md assumes it.

    Args:
        vm: Name of the VM.
        address: ``IP:PORT`` of the engine.
        session: HTTP client session.
    """

    def __init__(self, vm: str, address: str, session: aiohttp.ClientSession):
        self.vm = vm
        self.address = address
        self._base = f'http://{address}'
        self._session = session

    async def get_state(self) -> _engine.EngineState:
        """Reads the state; see the base class."""
        try:
            async with (
                loops.timeout(STATE_TIMEOUT_S),
                self._session.get(
                    f'{self._base}/state', timeout=_NO_TIMEOUT
                ) as resp,
            ):
                if resp.status != _HTTP_OK:
                    raise self._upstream_error(
                        f'status {resp.status}', 'state'
                    )
                body = await sessions.read_body(resp, STATE_MAX_BYTES)
                return _STATE_ADAPTER.validate_json(body)
        except _CALL_ERRORS as exc:
            raise self._upstream_error(repr(exc), 'state')

    async def load(self, order: _engine.LoadOrder) -> None:
        """Orders a load; see the base class."""
        await self._send_order(
            'load',
            {
                'copy_id': order.copy_id,
                'token': order.token,
                'rank': order.rank,
                'members': [list(pair) for pair in order.members],
                'version': order.version,
                'weights': order.weights,
                'adapters': list(order.adapters),
                'warm': order.warm,
            },
        )

    async def prefetch(self, order: _engine.PrefetchOrder) -> None:
        """Orders a fetch of weights; see the base class."""
        await self._send_order('prefetch', dataclasses.asdict(order))

    async def unload(self, copy_id: str, token: int) -> None:
        """Orders an unload; see the base class."""
        await self._send_order('unload', {'copy_id': copy_id, 'token': token})

    async def drain(self, copy_id: str, token: int) -> None:
        """Orders a drain; see the base class."""
        await self._send_order('drain', {'copy_id': copy_id, 'token': token})

    async def cancel(self, attempt: str) -> None:
        """Aborts an attempt; see the base class."""
        await self._send_order('cancel', {'attempt': attempt})

    async def _send_order(self, name: str, body: dict) -> None:
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            async with self._session.post(
                f'{self._base}/orders/{name}', json=body, timeout=timeout
            ) as resp:
                if resp.status == _HTTP_CONFLICT:
                    reason = await sessions.read_body(resp, REASON_MAX_BYTES)
                    raise errors.OrderRefusedError(
                        reason.decode(errors='replace'),
                        f'order_{name}',
                        self.vm,
                    )
                if resp.status != _HTTP_OK:
                    raise self._upstream_error(
                        f'status {resp.status}', f'order_{name}'
                    )
        except _connecting.CONNECT_ERRORS as exc:
            raise self._upstream_error(repr(exc), f'order_{name}', sent=False)
        except _CALL_ERRORS as exc:
            raise self._upstream_error(repr(exc), f'order_{name}')

    async def chat(
        self, call: _engine.ChatCall
    ) -> typing.AsyncIterator[_engine.ChatEvent]:
        """Starts an attempt; see the base class."""
        remaining_ms = int((call.deadline - time.monotonic()) * _MS_PER_S)
        body = dict(call.body)
        body['stream'] = True
        if call.position:
            body['continue_from'] = {
                'position': call.position,
                'text': call.prefix,
            }
        headers = {
            COPY_HEADER: call.copy_id,
            TOKEN_HEADER: str(call.token),
            ATTEMPT_HEADER: call.attempt,
            CALLER_HEADER: call.caller,
            DEADLINE_HEADER: str(max(remaining_ms, 0)),
            PRIORITY_HEADER: str(call.priority),
            REQUEST_HEADER: call.req_id,
        }
        async for event in self._stream_events(
            '/v1/chat/completions', 'chat', body, headers, call.deadline
        ):
            yield event

    async def resume(
        self, attempt: str, caller: str, after: int
    ) -> typing.AsyncIterator[_engine.ChatEvent]:
        """Resumes an attempt; see the base class."""
        body = {'attempt': attempt, 'caller': caller, 'after': after}
        async for event in self._stream_events(
            '/orders/resume', 'resume', body, {}, math.inf
        ):
            yield event

    async def _stream_events(self, path, step, body, headers, deadline):
        try:
            async with _connecting.send_request(
                self._session,
                'POST',
                self._base + path,
                deadline,
                json=body,
                headers=headers,
            ) as resp:
                await self._check_status(resp, step)
                while True:
                    block = await resp.content.readuntil(b'\n\n')
                    event = _parse_event(block)
                    if event is not None:
                        yield event
                        if event.end:
                            return
        except _connecting.CONNECT_ERRORS as exc:
            raise self._upstream_error(repr(exc), step, sent=False)
        except (*_CALL_ERRORS, EOFError) as exc:
            raise self._upstream_error(repr(exc), step)

    async def _check_status(self, resp, step: str) -> None:
        if resp.status == _HTTP_OK:
            return
        if resp.status == _HTTP_GONE:
            raise errors.ResumeLostError(
                'the engine no longer keeps the attempt', step, self.vm
            )
        if resp.status == _HTTP_CONFLICT:
            raise errors.OrderRefusedError(
                'the engine refused the copy or its fencing token',
                step,
                self.vm,
                sent=False,
            )
        # Engines send 429 and 503 only before they start on a request.
        raise self._upstream_error(
            f'status {resp.status}', step, sent=resp.status not in (429, 503)
        )

    def _upstream_error(self, text, step, sent=True) -> errors.UpstreamError:
        return errors.UpstreamError(text, step, self.vm, sent)


def _parse_event(block: bytes) -> _engine.ChatEvent | None:
    """Parses one server-sent event with ``id`` and ``data`` fields."""
    event_id = data = None
    for line in block.splitlines():
        if line.startswith(b'data:'):
            data = line[5:].lstrip()
        elif line.startswith(b'id:'):
            event_id = line[3:].strip()
    if not block.endswith(b'\n\n'):
        raise ValueError('the event stream ended within an event')
    if data is None:
        return None  # keep-alive comment
    if event_id is None or len(data) > EVENT_MAX_BYTES:
        raise ValueError(
            f'event without id or with over {EVENT_MAX_BYTES} bytes of data'
        )
    attempt, _, position = event_id.decode('ascii').partition('/')
    return _engine.ChatEvent(attempt, int(position), data, data == _END_DATA)
