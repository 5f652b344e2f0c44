"""HTTP API for operators."""

import json
import time

from aiohttp import web

from plantainway.api import _http
from plantainway import errors
from plantainway import evidence
from plantainway import keys
from plantainway import logs
from plantainway import metrics
from plantainway import objects

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_OPERATOR = web.RequestKey('operator', str)


class OperatorApi:
    """Serves declared objects, evidence, metrics and the state dump.

    Args:
        cfg: Settings of the node.
        parts: Objects shared by the tasks of the node.
        objects_task: Task that tracks the revision in force.
        store: Revision store.
        dump: Function that returns the state of all tasks.
        collector: Collector of the node's metrics.
    """

    def __init__(self, cfg, parts, objects_task, store, dump, collector):
        self._collector = collector
        self._cfg = cfg
        self._parts = parts
        self._objects = objects_task
        self._store = store
        self._dump = dump

    def app(self) -> web.Application:
        """Returns a new application with the routes of the operator API."""
        app = web.Application(
            middlewares=[_http.error_middleware, self._authenticate],
            client_max_size=_http.BODY_MAX_BYTES,
        )
        app.router.add_post('/operator/apply', self._apply)
        app.router.add_post('/operator/diff', self._diff)
        app.router.add_get('/operator/objects', self._list)
        app.router.add_get('/operator/objects/{kind}', self._list)
        app.router.add_get('/operator/objects/{kind}/{name}', self._get)
        app.router.add_delete('/operator/objects/{kind}/{name}', self._delete)
        app.router.add_get('/operator/evidence', self._evidence)
        app.router.add_get('/operator/state', self._state)
        app.router.add_get('/operator/metrics', self._metrics)
        return app

    @web.middleware
    async def _authenticate(self, request, handler):
        name, secret = keys.parse_authorization(
            request.headers.get('Authorization', '')
        )
        digests = [key for key in self._cfg.operator_keys if key.name == name]
        if not keys.verify(secret, digests):
            raise errors.UnauthorizedError('unknown operator key', 'operator')
        request[_OPERATOR] = name
        return await handler(request)

    async def _apply(self, request) -> web.Response:
        body = await _http.json_body(request)
        raw_objects = _list_field(body, 'objects')
        bases = body.get('bases', {})
        if not isinstance(bases, dict):
            raise errors.BadRequestError('bases must be an object', 'apply')
        parsed, faults = objects.parse_objects(raw_objects)
        if faults:
            raise errors.ObjectsInvalidError(faults)
        changes = [
            objects.Change(
                kind,
                name,
                json.loads(item.model_dump_json()),
                bases.get(f'{kind}/{name}'),
            )
            for (kind, name), item in parsed.by_id.items()
        ]
        dry_run = body.get('dry_run') is True
        return await self._publish(request, changes, dry_run)

    async def _delete(self, request) -> web.Response:
        base = request.query.get('base')
        if base is not None and not base.isdigit():
            raise errors.BadRequestError(
                'base must be a version number', 'delete'
            )
        change = objects.Change(
            request.match_info['kind'],
            request.match_info['name'],
            None,
            int(base) if base is not None else None,
        )
        return await self._publish(request, [change], False)

    async def _publish(self, request, changes, dry_run) -> web.Response:
        revision, changed = await self._store.publish(
            changes, request[_OPERATOR], dry_run
        )
        if changed and not dry_run:
            self._parts.evidence.record(
                'committed',
                revision=revision.number,
                author=request[_OPERATOR],
            )
            logs.event(
                'revision_committed',
                revision=revision.number,
                author=request[_OPERATOR],
                changes=len(changed),
            )
            self._objects.accept(revision.number, changed)
        return web.json_response(
            {
                'revision': revision.number,
                'dry_run': dry_run,
                'changed': [
                    {
                        'action': 'delete' if body is None else 'apply',
                        'kind': kind,
                        'name': name,
                    }
                    for kind, name, body in changed
                ],
            }
        )

    async def _diff(self, request) -> web.Response:
        body = await _http.json_body(request)
        parsed, faults = objects.parse_objects(_list_field(body, 'objects'))
        if faults:
            raise errors.ObjectsInvalidError(faults)
        current = await self._store.load()
        rows = objects.diff_sets(current.objects, parsed)
        return web.json_response(
            {
                'revision': current.number,
                'diff': [
                    {'action': action, 'kind': kind, 'name': name}
                    for action, kind, name in rows
                ],
            }
        )

    async def _list(self, request) -> web.Response:
        kind = request.match_info.get('kind')
        if kind is not None and kind not in objects.KINDS:
            raise errors.NotFoundError(f'kind {kind} not found', 'get')
        current = self._objects.current
        return web.json_response(
            {
                'revision': current.number,
                'objects': [
                    self._object_body(current, ident)
                    for ident in sorted(current.objects.by_id)
                    if kind in (None, ident[0])
                ],
            }
        )

    async def _get(self, request) -> web.Response:
        ident = (request.match_info['kind'], request.match_info['name'])
        current = self._objects.current
        if ident not in current.objects.by_id:
            raise errors.NotFoundError('/'.join(ident), 'get')
        return web.json_response(self._object_body(current, ident))

    def _object_body(self, revision, ident) -> dict:
        item = revision.objects.by_id[ident]
        return {
            'version': revision.versions[ident],
            'object': json.loads(item.model_dump_json()),
        }

    async def _evidence(self, request) -> web.Response:
        now = time.time()
        promise = request.query.get('promise')
        if promise is not None and promise not in evidence.PROMISES:
            raise errors.NotFoundError(
                f'promise {promise} not found', 'evidence'
            )
        try:
            since = float(request.query.get('since', 0.0))
            until = float(request.query.get('until', now))
        except ValueError:
            raise errors.BadRequestError(
                'since and until must be seconds since 1970', 'evidence'
            )
        data = await evidence.collect(
            self._parts.object_store, self._parts.table, since, until
        )
        names = [promise] if promise else list(evidence.PROMISES)
        return web.json_response(
            {
                'since': since,
                'until': until,
                'answers': [
                    evidence.evaluate_promise(data, name).to_dict()
                    for name in names
                ],
            }
        )

    async def _metrics(self, request) -> web.Response:
        return web.Response(
            body=metrics.render_text(self._collector),
            headers={'Content-Type': METRICS_CONTENT_TYPE},
        )

    async def _state(self, request) -> web.Response:
        return web.json_response(self._dump())


def _list_field(body: dict, name: str) -> list:
    value = body.get(name)
    if not isinstance(value, list):
        raise errors.BadRequestError(f'{name} must be a list', 'http')
    return value
