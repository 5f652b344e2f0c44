"""HTTP clients of the caller API and the operator API."""

import asyncio
import dataclasses
import json
import time

import aiohttp

from plantainway import errors

ATTEMPTS_MAX = 8
RETRY_DELAY_S = 0.5
PIN_DURATION_S = 60.0
CALL_TIMEOUT_S = 30.0
_HTTP_OK = 200
_HTTP_GONE = 410
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, EOFError)


class RemoteError(errors.PlantainwayError):
    """An error response of a node.

    Args:
        status: HTTP status.
        body: The ``error`` object of the response.
        peer: Address of the node.
        req_id: Request id assigned by the node.
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


async def _read_remote_error(resp, peer: str) -> RemoteError:
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
        """Sends one request to the operator API.

        Args:
            method: HTTP method.
            path: Path below ``/operator``.
            body: Value sent as JSON.
            params: Query parameters; those that are ``None`` are left out.

        Returns:
            The decoded JSON response.

        Raises:
            RemoteError: If the node returned an error status.
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
                    raise await _read_remote_error(resp, self._address)
                return await resp.json()
        except _CALL_ERRORS as exc:
            raise errors.UpstreamError(repr(exc), path, self._address)


@dataclasses.dataclass
class Answer:
    """The part of a streamed answer received so far."""

    text: str = ''
    pieces: int = 0
    is_complete: bool = False
    last_event_id: str = ''
    resumes: int = 0
    restarts: int = 0


class CallerClient:
    """Client of the caller API that reconnects and resumes answers.

    It takes the addresses of nodes from their directory.

    Args:
        entries: Addresses to fetch the directory from at first.
        key: Caller key.
        session: Client session to use.
        retry_refused: Whether to repeat requests refused as not run.
    """

    def __init__(
        self, entries: list[str], key: str, session, retry_refused=True
    ):
        self._seed_addresses = list(entries)
        self._headers = {'Authorization': f'Bearer {key}'}
        self._session = session
        self._addresses: list[str] = []
        self._valid_until = 0.0
        self._failed_addresses: set[str] = set()
        self._retries_refusals = retry_refused

    def pin(self, address: str) -> None:
        """Uses one address for ``PIN_DURATION_S`` instead of the directory.

        Args:
            address: Address of a node's caller API.
        """
        self._addresses = [address]
        self._valid_until = time.monotonic() + PIN_DURATION_S

    async def fetch_entries(self) -> dict:
        """Fetches the directory and stores the addresses that it lists.

        Returns:
            The directory as sent by the node.

        Raises:
            UpstreamError: If no known address answered.
        """
        known = [a for a in self._addresses if a not in self._failed_addresses]
        for address in known + self._seed_addresses:
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
            self._failed_addresses.clear()
            return found
        raise errors.UpstreamError(
            'no node answered the directory request', 'entries'
        )

    async def _choose_address(self) -> str:
        usable = [
            a for a in self._addresses if a not in self._failed_addresses
        ]
        if not usable or time.monotonic() >= self._valid_until:
            await self.fetch_entries()
            usable = self._addresses
        if not usable:
            raise errors.UpstreamError(
                'the directory lists no node', 'entries'
            )
        return usable[0]

    async def ask(self, body: dict, on_text=None) -> Answer:
        """Sends a chat request and retries until its answer is complete.

        Args:
            body: Body of a chat completions request.
            on_text: Function called with each piece of text.

        Returns:
            The complete answer.

        Raises:
            RemoteError: If the request failed and is not to be retried.
            UpstreamError: If ``ATTEMPTS_MAX`` attempts did not complete it.
        """
        answer = Answer()
        failure = None
        for _attempt in range(ATTEMPTS_MAX):
            address = ''
            try:
                address = await self._choose_address()
                await self._stream(address, body, answer, on_text)
            except RemoteError as exc:
                if not self._prepare_retry(exc, answer):
                    raise
                failure = exc
            except (errors.UpstreamError, *_CALL_ERRORS) as exc:
                failure = exc
                self._failed_addresses.add(address)
            if answer.is_complete:
                return answer
            await asyncio.sleep(RETRY_DELAY_S)
        raise errors.UpstreamError(
            f'no complete answer: {failure}', 'ask', address
        )

    def _prepare_retry(self, exc: RemoteError, answer: Answer) -> bool:
        """Returns whether to send the request again.

        If its attempt can't be resumed, the next one continues from the text.
        """
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
                raise await _read_remote_error(resp, address)
            while not answer.is_complete:
                block = await resp.content.readuntil(b'\n\n')
                _process_event(block, answer, on_text, address)


def _process_event(block: bytes, answer: Answer, on_text, address) -> None:
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
            raise errors.UpstreamError(
                'pieces of the answer are missing', 'ask', address
            )
        answer.is_complete = True
        return
    if position != answer.pieces + 1:
        raise errors.UpstreamError(
            'pieces of the answer are missing', 'ask', address
        )
    chunk = json.loads(fields[b'data'])
    text = chunk['choices'][0]['delta'].get('content') or ''
    answer.text += text
    answer.pieces = position
    answer.last_event_id = event_id
    if on_text is not None:
        on_text(text)
