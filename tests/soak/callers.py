"""Callers that ask the directory, keep connections and note answers."""

import asyncio

import aiohttp

from tests.platform import conftest
from tests.soak import runners

PAUSE_S = 0.02
GIVE_UP_S = 6.0
DIRECTORY_S = 1.0

KINDS = ('safe', 'unsafe', 'stream', 'version')


class Caller:
    """One caller with connections of its own.

    Args:
        number: Its number.
        world: Nodes, versions and ledger.
        rng: Its source of randomness.
    """

    def __init__(self, number: int, world, rng):
        self._number = number
        self._world = world
        self._rng = rng
        self._count = 0
        self._addresses: list[str] = []

    def draw_kind(self) -> str:
        """Returns a kind of request."""
        return self._rng.choice(KINDS)

    async def ask(self, session, kind: str) -> bool:
        """Sends one request.

        Args:
            session: The caller's connections.
            kind: Kind of request.

        Returns:
            Whether the whole answer came.
        """
        if not self._addresses or self._rng.random() < 0.1:
            await self._resolve(session)
        if not self._addresses:
            return False
        address = self._rng.choice(self._addresses)
        self._count += 1
        token = f't{self._number}-{self._count}'
        ledger = self._world.ledger
        if kind == 'unsafe':
            ledger.note_single(token)
        version = self._world.version - self._rng.randrange(2)
        before = ledger.seen_version(address)
        path = (
            f'/v{version}/{token}'
            if kind == 'version'
            else (f'/{kind}/{token}')
        )
        more = {'Model': 'm0', 'Token_Count': '10,10'}
        try:
            async with asyncio.timeout(GIVE_UP_S):
                got = await conftest.send_request(
                    session,
                    address,
                    path,
                    method='GET' if kind in ('safe', 'version') else 'POST',
                    request_id=token,
                    **(more if kind == 'stream' else {}),
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            ledger.outcomes[type(exc).__name__] += 1
            if address in self._addresses:
                self._addresses.remove(address)
            return False
        expected = (
            runners.stream_body(token)
            if kind == 'stream'
            else runners.plain_body(token)
        )
        ledger.note_answer(token, got, expected)
        if kind == 'version' and got.status == 200:
            ledger.note_version(address, version, before)
        return got.status == 200 and got.is_whole

    async def _resolve(self, session) -> None:
        processes = list(self._world.processes)
        self._rng.shuffle(processes)
        for process in processes[:3]:
            if 'directory' not in process.addresses:
                continue
            url = (
                f'http://{process.addresses["directory"]}'
                '/plantainway/resolution?name=h&zone=a'
            )
            try:
                async with asyncio.timeout(DIRECTORY_S):
                    async with session.get(url) as resp:
                        body = await resp.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
            if body.get('addresses'):
                self._addresses = list(body['addresses'])
                return
