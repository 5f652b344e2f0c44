"""What callers and operators need to talk to nodes."""

import asyncio
import dataclasses
import json
import time

import aiohttp

from plantainway import errors

ATTEMPTS_MAX = 8
RETRY_PAUSE_S = 0.5
PIN_LIFE_S = 60.0
CALL_TIMEOUT_S = 30.0
_HTTP_OK = 200
_HTTP_GONE = 410
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, EOFError)


class RemoteError(errors.PlantainwayError):
    """An error that a node answered with.

    Args:
        status: HTTP status.
        body: The ``error`` part of the answer.
        peer: Address of the node.
        req_id: Id that the node gave the request.
    """

    def __init__(self, status: int, body: dict, peer: str, req_id=''):
        super().__init__(
            str(body.get('message', f'status {status}')),
            str(body.get('step', '')),
            peer,
        )
        self.code = str(body.get('code', 'unreadable_answer'))
        self.status = status
        self.body = body
        self.req_id = req_id


async def _remote_error(resp, peer: str) -> RemoteError:
    try:
        body = (await resp.json())['error']
    except (ValueError, KeyError, TypeError, aiohttp.ClientError):
        body = {}
    req_id = resp.headers.get('X-Request-Id', '')
    return RemoteError(resp.status, body, peer, req_id)


class OperatorClient:
    """Client of a node's operator API.

    Args:
        address: ``IP:PORT`` of the operator API.
        key: Operator key.
        session: Client session to use.
    """

    def __init__(self, address: str, key: str, session):
        self._address = address
        self._headers = {'Authorization': f'Bearer {key}'}
        self._session = session

    async def call(self, method: str, path: str, body=None, **params):
        """Makes one call.

        Args:
            method: HTTP method.
            path: Path below ``/operator``.
            body: Value to send as JSON.
            params: Query parameters; those that are ``None`` are left out.

        Returns:
            The decoded answer.

        Raises:
            RemoteError: If the node refused.
            UpstreamError: If the node could not be reached.
        """
        params = {k: str(v) for k, v in params.items() if v is not None}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                f'http://{self._address}/operator/{path}',
                json=body,
                params=params,
                headers=self._headers,
                timeout=timeout,
            ) as resp:
                if resp.status != _HTTP_OK:
                    raise await _remote_error(resp, self._address)
                return await resp.json()
        except _CALL_ERRORS as exc:
            raise errors.UpstreamError(repr(exc), path, self._address)


@dataclasses.dataclass
class Answer:
    """An answer as far as it has arrived."""

    text: str = ''
    pieces: int = 0
    is_complete: bool = False
    last_event_id: str = ''
    resumes: int = 0
    restarts: int = 0


class CallerClient:
    """A caller that follows the directory, reconnects and resumes.

    Args:
        entries: Addresses to ask for the directory first.
        key: Caller key.
        session: Client session to use.
        retry_refused: Whether a request refused as not run is sent
            again.
    """

    def __init__(
        self, entries: list[str], key: str, session, retry_refused=True
    ):
        self._seeds = list(entries)
        self._headers = {'Authorization': f'Bearer {key}'}
        self._session = session
        self._addresses: list[str] = []
        self._valid_until = 0.0
        self._bad: set[str] = set()
        self._retries_refusals = retry_refused

    def pin(self, address: str) -> None:
        """Starts with one address instead of the directory's answer.

        Args:
            address: Address of a node for callers.
        """
        self._addresses = [address]
        self._valid_until = time.monotonic() + PIN_LIFE_S

    async def fetch_entries(self) -> dict:
        """Asks for the addresses to use.

        Raises:
            UpstreamError: If no known address answered.
        """
        known = [a for a in self._addresses if a not in self._bad]
        for address in known + self._seeds:
            try:
                async with self._session.get(
                    f'http://{address}/v1/entries',
                    timeout=aiohttp.ClientTimeout(total=2.0),
                ) as resp:
                    found = await resp.json()
            except _CALL_ERRORS:
                continue
            self._addresses = [e['address'] for e in found['entries']]
            self._valid_until = time.monotonic() + found['valid_ms'] / 1000
            self._bad.clear()
            return found
        raise errors.UpstreamError('no node answers', 'entries')

    async def _address(self) -> str:
        usable = [a for a in self._addresses if a not in self._bad]
        if not usable or time.monotonic() >= self._valid_until:
            await self.fetch_entries()
            usable = self._addresses
        if not usable:
            raise errors.UpstreamError('no node is listed', 'entries')
        return usable[0]

    async def ask(self, body: dict, on_text=None) -> Answer:
        """Sends a chat request until its answer is whole.

        Args:
            body: Chat completions body.
            on_text: Function called with each piece of text.

        Returns:
            The whole answer.

        Raises:
            RemoteError: If the request was refused for good.
            UpstreamError: If no node could complete it.
        """
        answer = Answer()
        failure = None
        for _attempt in range(ATTEMPTS_MAX):
            address = ''
            try:
                address = await self._address()
                await self._stream(address, body, answer, on_text)
            except RemoteError as exc:
                if not self._may_go_on(exc, answer):
                    raise
                failure = exc
            except (errors.UpstreamError, *_CALL_ERRORS) as exc:
                failure = exc
                self._bad.add(address)
            if answer.is_complete:
                return answer
            await asyncio.sleep(RETRY_PAUSE_S)
        raise errors.UpstreamError(
            f'no whole answer: {failure}', 'ask', address
        )

    def _may_go_on(self, exc: RemoteError, answer: Answer) -> bool:
        if exc.status == _HTTP_GONE:
            answer.last_event_id = ''
            answer.restarts += 1
            return True
        if exc.code == 'not_run':
            return self._retries_refusals or answer.pieces > 0
        return exc.code == 'outcome_unknown'

    async def _stream(self, address, body, answer, on_text) -> None:
        headers = dict(self._headers)
        body = dict(body, stream=True)
        if answer.last_event_id:
            headers['Last-Event-ID'] = answer.last_event_id
            answer.resumes += 1
        elif answer.pieces:
            body['continue_from'] = {
                'text': answer.text,
                'position': answer.pieces,
            }
        async with self._session.post(
            f'http://{address}/v1/chat/completions',
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=2.0),
        ) as resp:
            if resp.status != _HTTP_OK:
                raise await _remote_error(resp, address)
            while not answer.is_complete:
                block = await resp.content.readuntil(b'\n\n')
                _take_block(block, answer, on_text, address)


def _take_block(block: bytes, answer: Answer, on_text, address) -> None:
    fields = {}
    for line in block.splitlines():
        name, _, value = line.partition(b':')
        fields[name] = value.strip()
    if fields.get(b'event') == b'error':
        error = json.loads(fields[b'data'])['error']
        raise RemoteError(_HTTP_OK, error, address)
    event_id = fields[b'id'].decode()
    position = int(event_id.rpartition('.')[2])
    if fields[b'data'] == b'[DONE]':
        if position != answer.pieces:
            raise errors.UpstreamError('positions missing', 'ask', address)
        answer.is_complete = True
        return
    if position != answer.pieces + 1:
        raise errors.UpstreamError('positions missing', 'ask', address)
    chunk = json.loads(fields[b'data'])
    text = chunk['choices'][0]['delta'].get('content') or ''
    answer.text += text
    answer.pieces = position
    answer.last_event_id = event_id
    if on_text is not None:
        on_text(text)
