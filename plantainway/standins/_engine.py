"""Stand-in of a model engine; its answers are derived from the prompt."""

import asyncio
import collections
import contextlib
import hashlib
import json
import random
import time
import uuid

from aiohttp import web

from plantainway.standins import _faults
from plantainway.standins import _server

WORDS = (
    'sleeves', 'cards', 'boxes', 'castle', 'tower', 'gate', 'fold', 'glue',
    'order', 'stock', 'shelf', 'count', 'sheet', 'wall', 'window', 'roof',
)  # fmt: skip
DEFAULT_MAX_TOKENS = 16
RESUME_RETENTION_S = 30.0
BLOCK_CHARS = 256
_MS_PER_S = 1000


def make_answer_words(messages, count: int) -> list[str]:
    """Returns the words of the answer to a prompt, the same on every engine.

    Args:
        messages: Messages of the request.
        count: Number of words.
    """
    seed = hashlib.blake2b(json.dumps(messages).encode()).digest()
    rng = random.Random(seed)
    return [rng.choice(WORDS) + ' ' for _ in range(count)]


class Fleet:
    """Registry of the engine stand-ins of a process, by VM.

    Engines look up the other members of their copy here.

    Args:
        weights: Weight store stand-in that delays loads; ``None`` for no
            delay.
    """

    def __init__(self, weights=None):
        self.weights = weights
        self.engines: dict[str, EngineStandIn] = {}

    def has_running_members(self, copy_id: str, token: int, vms) -> bool:
        """Returns whether all members of a copy are up and have its token.

        Args:
            copy_id: Id of the copy.
            token: Fencing token of the copy.
            vms: VMs of the members.
        """
        for vm in vms:
            engine = self.engines.get(vm)
            if engine is None or not engine.is_up or engine.is_paused:
                return False
            if (engine.copy_id, engine.token) != (copy_id, token):
                return False
        return True


class _Attempt:
    def __init__(self, attempt, caller, body, deadline, start):
        self.attempt = attempt
        self.caller = caller
        self.deadline = deadline
        self.start_position = start
        count = body.get('max_tokens', DEFAULT_MAX_TOKENS)
        self.words = make_answer_words(body.get('messages'), count)
        self.generated = start
        self.prefill_s = 0.0
        self.is_complete = False
        self.is_aborted = False
        self.changed = asyncio.Event()

    def notify_readers(self):
        self.changed.set()
        self.changed = asyncio.Event()


class EngineStandIn:
    """Engine on one VM.

    Args:
        vm: Name of the VM.
        fleet: Fleet to join.
        host: Address to listen on.
        port: Port, 0 for a free one.
        checks_fencing: Whether requests with outdated fencing tokens are
            refused.
        slots: Largest number of concurrent requests.
        token_s: Seconds to generate one token.
    """

    def __init__(
        self,
        vm: str,
        fleet: Fleet,
        host: str = '127.0.0.1',
        port: int = 0,
        checks_fencing: bool = True,
        slots: int = 8,
        token_s: float = 0.01,
    ):
        self.vm = vm
        self.faults = _faults.InjectedFaults()
        self.checks_fencing = checks_fencing
        self.slots = slots
        self.token_s = token_s
        self.is_up = False
        self.is_paused = False
        self.leaving = False
        self.chats: list[dict] = []
        self.orders: list[dict] = []
        self.lost_cache_event_fraction = 0.0
        self.prefill_s_per_block = 0.0
        self.cache_blocks = 64
        # Fraction of events that are sent twice.
        self.duplicate_fraction = 0.0
        # Fraction of events that follow an event of another attempt.
        self.foreign_fraction = 0.0
        # Fraction of answers that break off before the end mark.
        self.missing_end_fraction = 0.0
        self.server = _server.Server(self._app, host, port)
        self._fleet = fleet
        fleet.engines[vm] = self
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._rng = random.Random(vm)
        self._reset()

    def _reset(self) -> None:
        self.boot = uuid.uuid4().hex[:12]
        self.copy_id = ''
        self.token = 0
        self.role = 'idle'
        self.version = ''
        self.members = []
        self.warm = ''
        self._fetching = False
        # Newest token of the unload orders; loads need a newer one.
        self._revoked_token = 0
        self._running = 0
        self._waiting: list = []
        self._attempts: dict[str, _Attempt] = {}
        self._tasks: set[asyncio.Task] = set()
        self._load_snapshot = (0.0, 0, 0)
        self._cache_events: list[tuple] = []
        self._last_cache_event_number = 0
        self._cache: collections.OrderedDict = collections.OrderedDict()

    async def start(self) -> None:
        """Starts to listen."""
        await self.server.start()
        self.is_up = True

    async def die(self) -> None:
        """Crashes the engine: breaks all connections and requests.

        Its state is lost once it reboots.
        """
        self.is_up = False
        for task in list(self._tasks):
            task.cancel()
        for attempt in self._attempts.values():
            attempt.is_aborted = True
            attempt.notify_readers()
        await self.server.stop()

    async def reboot(self) -> None:
        """Restarts the engine with a new boot id and without its state."""
        if self.is_up:
            await self.die()
        self._reset()
        await self.start()

    async def disconnect(self) -> None:
        """Makes the engine unreachable; it keeps its state."""
        self.is_up = False
        await self.server.stop()

    async def reconnect(self) -> None:
        """Makes the engine reachable again, with the same boot id."""
        await self.start()

    def pause(self) -> None:
        """Makes requests hang until ``unpause`` is called."""
        self.is_paused = True
        self._not_paused.clear()

    def unpause(self) -> None:
        """Lets requests proceed again."""
        self.is_paused = False
        self._not_paused.set()

    async def stop(self) -> None:
        """Stops the engine for good."""
        self.unpause()
        await self.die()

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _app(self) -> web.Application:
        app = _server.new_app()
        app.middlewares.append(self._pause_middleware)
        app.router.add_get('/state', self._handle_state)
        app.router.add_post('/v1/chat/completions', self._handle_chat)
        app.router.add_post('/orders/load', self._handle_load)
        app.router.add_post('/orders/prefetch', self._handle_prefetch)
        app.router.add_post('/orders/unload', self._handle_unload)
        app.router.add_post('/orders/drain', self._handle_drain)
        app.router.add_post('/orders/resume', self._handle_resume)
        app.router.add_post('/orders/cancel', self._handle_cancel)
        app.router.add_get('/cache-events', self._handle_cache_events)
        app.router.add_post('/faults', self._handle_faults)
        return app

    @web.middleware
    async def _pause_middleware(self, request, handler):
        await self._not_paused.wait()
        await self.faults.delay()
        return await handler(request)

    def describe(self) -> str:
        """Returns the state of the engine and its attempts in one line."""
        attempts = ' '.join(
            f'{name[:8]}:{attempt.generated}/{len(attempt.words)}'
            f'{" complete" if attempt.is_complete else ""}'
            f'{" aborted" if attempt.is_aborted else ""}'
            for name, attempt in self._attempts.items()
        )
        return (
            f'{self.vm} up={self.is_up} paused={self.is_paused} '
            f'role={self.role} copy={self.copy_id} token={self.token} '
            f'running={self._running} waiting={len(self._waiting)} '
            f'attempts=[{attempts}]'
        )

    def _reported_load(self) -> tuple[int, int]:
        now = time.monotonic()
        at, running, waiting = self._load_snapshot
        if now - at >= self.faults.lag_s:
            running, waiting = self._running, len(self._waiting)
            self._load_snapshot = (now, running, waiting)
        return running, waiting

    async def _handle_state(self, request):
        running, waiting = self._reported_load()
        return web.json_response(
            {
                'vm': self.vm,
                'boot': self.boot,
                'copy_id': self.copy_id,
                'token': self.token,
                'role': self.role,
                'version': self.version,
                'running': running,
                'waiting': waiting,
                'slots': self.slots,
                'leaving': self.leaving,
                'warm': self.warm,
            }
        )

    async def _handle_load(self, request):
        order = await request.json()
        self.orders.append({'name': 'load', **order})
        token = order['token']
        if self.checks_fencing and token <= self._revoked_token:
            return self._fencing_refusal()
        is_repeated = (self.copy_id, self.token) == (order['copy_id'], token)
        if not is_repeated:
            if self.checks_fencing and token < self.token:
                return self._fencing_refusal()
            self.copy_id = order['copy_id']
            self.token = token
            self.members = [vm for vm, _address in order['members']]
            self.version = order['version']
            self.role = 'loading'
            self._abort_attempts()
            self._spawn(self._do_load(order))
        if self.faults.consume_lost_reply():
            _server.abort(request)
        return web.json_response({'accepted': True})

    async def _do_load(self, order) -> None:
        token = order['token']
        await self._fetch(order, len(self.members))
        if self.token == token and self.role == 'loading':
            self.role = 'ready'

    async def _fetch(self, order, members: int) -> None:
        label = order.get('warm') or f'{order["weights"]}/{order["rank"]}'
        weights = self._fleet.weights
        if self.warm != label and weights is not None:
            size = weights.sizes.get(order['weights'], 0)
            await weights.transfer(size // max(members, 1))
        self.warm = label

    async def _handle_prefetch(self, request):
        order = await request.json()
        self.orders.append({'name': 'prefetch', **order})
        if self.role == 'idle' and not self._fetching:
            self._fetching = True
            self._spawn(self._do_prefetch(order))
        return web.json_response({'accepted': True})

    async def _do_prefetch(self, order) -> None:
        try:
            await self._fetch(order, order['members'])
        finally:
            self._fetching = False

    def _fencing_refusal(self):
        return web.json_response(
            {'code': 'fenced', 'token': max(self.token, self._revoked_token)},
            status=409,
        )

    async def _handle_unload(self, request):
        order = await request.json()
        self.orders.append({'name': 'unload', **order})
        if self.checks_fencing and order['token'] < self.token:
            return self._fencing_refusal()
        self._revoked_token = max(
            self._revoked_token, order['token'], self.token
        )
        self._abort_attempts()
        self.copy_id, self.token, self.role = '', 0, 'idle'
        self.members = []
        return web.json_response({'accepted': True})

    async def _handle_drain(self, request):
        order = await request.json()
        self.orders.append({'name': 'drain', **order})
        if (self.copy_id, self.token) != (order['copy_id'], order['token']):
            return self._fencing_refusal()
        self.role = 'draining'
        self._update_drained()
        return web.json_response({'accepted': True})

    def _update_drained(self) -> None:
        if self.role == 'draining' and not self._running:
            if not self._waiting:
                self.role = 'drained'

    def _abort_attempts(self) -> None:
        for attempt in self._attempts.values():
            if not attempt.is_complete:
                attempt.is_aborted = True
                attempt.notify_readers()

    async def _handle_cancel(self, request):
        order = await request.json()
        attempt = self._attempts.get(order['attempt'])
        if attempt is not None and not attempt.is_complete:
            attempt.is_aborted = True
            attempt.notify_readers()
        return web.json_response({'accepted': True})

    async def _handle_chat(self, request):
        body = await request.json()
        headers = request.headers
        copy_id = headers.get('X-Replica', '')
        token = int(headers.get('X-Fencing-Token', '0'))
        if self.checks_fencing and copy_id:
            if (copy_id, token) != (self.copy_id, self.token):
                return self._fencing_refusal()
        if self.role != 'ready' and copy_id:
            raise web.HTTPServiceUnavailable
        remaining_s = int(headers.get('X-Deadline-Ms', '600000')) / _MS_PER_S
        start = body.get('continue_from', {}).get('position', 0)
        attempt = _Attempt(
            headers.get('X-Attempt') or uuid.uuid4().hex,
            headers.get('X-Caller', ''),
            body,
            time.monotonic() + remaining_s,
            start,
        )
        self._attempts[attempt.attempt] = attempt
        cached, blocks = self._look_up_cache(body)
        attempt.prefill_s = (blocks - cached) * self.prefill_s_per_block
        self.chats.append(
            {
                'attempt': attempt.attempt,
                'req': headers.get('X-Request-Id', ''),
                'caller': attempt.caller,
                'copy_id': self.copy_id,
                'token': self.token,
                'at': time.monotonic(),
                'cached': cached,
                'blocks': blocks,
            }
        )
        self._spawn(
            self._generate(attempt, int(headers.get('X-Priority', '0')))
        )
        return await self._stream_attempt(request, attempt, start)

    async def _handle_resume(self, request):
        order = await request.json()
        attempt = self._attempts.get(order['attempt'])
        if (
            attempt is None
            or attempt.caller != order['caller']
            or attempt.is_aborted
            or not attempt.start_position
            <= order['after']
            <= len(attempt.words)
        ):
            raise web.HTTPGone
        return await self._stream_attempt(request, attempt, order['after'])

    async def _generate(self, attempt: _Attempt, priority: int) -> None:
        await self._acquire_slot(priority)
        vms = list(self.members)
        copy_id, token = self.copy_id, self.token
        try:
            await asyncio.sleep(attempt.prefill_s)
            while (
                attempt.generated < len(attempt.words)
                and not attempt.is_aborted
            ):
                if self.token_s:
                    await asyncio.sleep(self.token_s)
                await self._not_paused.wait()
                is_expired = time.monotonic() > attempt.deadline
                if is_expired or (
                    copy_id
                    and not self._fleet.has_running_members(
                        copy_id, token, vms
                    )
                ):
                    attempt.is_aborted = True
                else:
                    attempt.generated += 1
                attempt.notify_readers()
            attempt.is_complete = not attempt.is_aborted
            attempt.notify_readers()
        finally:
            self._release_slot()
        await asyncio.sleep(RESUME_RETENTION_S)
        self._attempts.pop(attempt.attempt, None)

    async def _acquire_slot(self, priority: int) -> None:
        if self._running < self.slots:
            self._running += 1
            return
        slot_fut = asyncio.get_running_loop().create_future()
        self._waiting.append((priority, len(self.chats), slot_fut))
        self._waiting.sort(key=lambda item: item[:2])
        await slot_fut

    def _release_slot(self) -> None:
        if self._waiting:
            self._waiting.pop(0)[2].set_result(None)
        else:
            self._running -= 1
        self._update_drained()

    async def _stream_attempt(self, request, attempt: _Attempt, after: int):
        resp = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        await resp.prepare(request)
        sent = after
        with contextlib.suppress(ConnectionError):
            while True:
                while sent < attempt.generated:
                    sent += 1
                    await self._write_event(resp, attempt, sent)
                if attempt.is_complete and sent == len(attempt.words):
                    if self._rng.random() < self.missing_end_fraction:
                        _server.abort(request)
                    await resp.write(
                        f'id: {attempt.attempt}/{sent}\n'
                        'data: [DONE]\n\n'.encode()
                    )
                    await resp.write_eof()
                    return resp
                if attempt.is_aborted:
                    _server.abort(request)
                await attempt.changed.wait()
        return resp

    async def _write_event(self, resp, attempt: _Attempt, position) -> None:
        event = self._encode_event(attempt, position)
        if self._rng.random() < self.foreign_fraction:
            foreign_event = b'id: stranger/' + event.partition(b'/')[2]
            await resp.write(foreign_event)
        await resp.write(event)
        if self._rng.random() < self.duplicate_fraction:
            await resp.write(event)

    def _encode_event(self, attempt: _Attempt, position: int) -> bytes:
        chunk = {
            'object': 'chat.completion.chunk',
            'choices': [
                {
                    'index': 0,
                    'delta': {'content': attempt.words[position - 1]},
                }
            ],
        }
        return (
            f'id: {attempt.attempt}/{position}\ndata: {json.dumps(chunk)}\n\n'
        ).encode()

    def _look_up_cache(self, body) -> tuple[int, int]:
        """Looks up the blocks of a prompt in the prefix cache and adds them.

        Records a cache event for each stored or evicted block.

        Returns:
            Number of leading blocks that were cached, and number of full
            blocks in the prompt.
        """
        text = json.dumps(body.get('messages'), ensure_ascii=False)
        digests = [
            hashlib.blake2b(
                text[: end + BLOCK_CHARS].encode(), digest_size=8
            ).hexdigest()
            for end in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS)
        ]
        cached = 0
        for digest in digests:
            if digest not in self._cache:
                break
            cached += 1
        for digest in digests:
            if digest not in self._cache:
                self._record_cache_event('stored', digest)
            self._cache[digest] = True
            self._cache.move_to_end(digest)
        while len(self._cache) > self.cache_blocks:
            digest, _true = self._cache.popitem(last=False)
            self._record_cache_event('evicted', digest)
        return cached, len(digests)

    def _record_cache_event(self, kind: str, digest: str) -> None:
        self._last_cache_event_number += 1
        if self._rng.random() >= self.lost_cache_event_fraction:
            self._cache_events.append(
                (self._last_cache_event_number, time.monotonic(), kind, digest)
            )

    async def _handle_cache_events(self, request):
        after = int(request.query.get('after', '0'))
        limit = time.monotonic() - self.faults.lag_s
        return web.json_response(
            {
                'events': [
                    {'number': number, 'kind': kind, 'prefix': digest}
                    for number, at, kind, digest in self._cache_events
                    if number > after and at <= limit
                ]
            }
        )

    async def _handle_faults(self, request):
        values = await request.json()
        action = values.pop('action', '')
        self.slots = int(values.pop('slots', self.slots))
        self.token_s = float(values.pop('token_s', self.token_s))
        _faults.set_faults(self.faults, values)
        if action == 'pause':
            self.pause()
        elif action in ('die', 'reboot'):
            asyncio.ensure_future(getattr(self, action)())
        elif action == 'leave':
            self.leaving = True
        return web.json_response({'action': action})
