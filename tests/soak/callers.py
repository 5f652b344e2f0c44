"""Callers that resolve nodes, send requests and check the answers."""

import asyncio

import aiohttp

from tests.platform import conftest
from tests.soak import ledger
from tests.soak import runners

REQUEST_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 6.0
DIRECTORY_TIMEOUT_S = 1.0
DEADLINE_S = 4.0

KINDS = ('safe', 'unsafe', 'stream', 'version')


class Caller:
    """One caller that sends requests to addresses from the directory.

    Args:
        number: Number of the caller, unique in the run.
        world: Node processes, configuration version and checker.
        rng: Random generator of this caller.
    """

    def __init__(self, number: int, world, rng):
        self._number = number
        self._soak = world
        self._rng = rng
        self._count = 0
        self._addresses: list[str] = []

    def draw_kind(self) -> str:
        """Returns a random kind of request."""
        return self._rng.choice(KINDS)

    async def ask(self, session, kind: str) -> bool:
        """Sends one request.

        Args:
            session: HTTP session of the caller.
            kind: Kind of request.

        Returns:
            Whether a complete answer with status 200 came.
        """
        if not self._addresses or self._rng.random() < 0.1:
            await self._resolve(session)
        if not self._addresses:
            return False
        address = self._rng.choice(self._addresses)
        self._count += 1
        token = f't{self._number}-{self._count}'
        checker = self._soak.checker
        checker.arrivals.senders[token] = address
        if kind == 'unsafe':
            checker.record_at_most_once(token)
        version = self._soak.version - self._rng.randrange(2)
        before = checker.newest_version(address)
        path = (
            f'/v{version}/{token}'
            if kind == 'version'
            else (f'/{kind}/{token}')
        )
        more = {'Deadline_Ms': str(int(DEADLINE_S * 1000))}
        if kind == 'stream':
            more |= {'Model': 'm0', 'Token_Count': '10,10'}
        now = asyncio.get_running_loop().time
        sent_at = now()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                answer = await conftest.send_request(
                    session,
                    address,
                    path,
                    method='GET' if kind in ('safe', 'version') else 'POST',
                    request_id=token,
                    **more,
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            checker.outcomes[type(exc).__name__] += 1
            if address in self._addresses:
                self._addresses.remove(address)
            return False
        expected = (
            runners.stream_body(token)
            if kind == 'stream'
            else runners.plain_body(token)
        )
        checker.check_answer(token, answer, expected)
        if answer.status == 200 and not answer.is_whole:
            checker.cut_answers.record_cut(
                ledger.CutAnswer(
                    token, address, sent_at, sent_at + DEADLINE_S, now()
                )
            )
        if kind == 'version' and answer.status == 200:
            checker.check_version(address, version, before)
        return answer.status == 200 and answer.is_whole

    async def _resolve(self, session) -> None:
        processes = list(self._soak.processes)
        self._rng.shuffle(processes)
        for process in processes[:3]:
            if 'directory' not in process.addresses:
                continue
            url = (
                f'http://{process.addresses["directory"]}'
                '/plantainway/resolution?name=h&zone=a'
            )
            try:
                async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                    async with session.get(url) as resp:
                        body = await resp.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
            if body.get('addresses'):
                self._addresses = list(body['addresses'])
                return
