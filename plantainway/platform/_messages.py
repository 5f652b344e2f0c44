"""Bodies of the platform, decoded into the project's types."""

import json
import typing

import pydantic

from plantainway import deployment
from plantainway import errors
from plantainway import logs


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', populate_by_name=True)


Strict = pydantic.StrictStr
Whole = pydantic.StrictInt


class _Share(_Body):
    service: Strict
    weight: float = 1.0


class _Route(_Body):
    name: Strict
    host: Strict
    prefix: Strict
    # safe, unsafe or stream: what may be repeated.
    kind: deployment.RouteKind = pydantic.Field(alias='routeType')
    timeout_ms: float = pydantic.Field(alias='timeoutMs')
    # The time for full credit, not a service-level indicator.
    target_ms: float = pydantic.Field(alias='sloMs')
    priority: int = 5
    service: str | None = None
    split: list[_Share] | None = None
    max_attempts: int = pydantic.Field(1, alias='maxAttempts')
    anonymous: bool = False
    resumable: bool = False
    pause_ms: float = pydantic.Field(0.0, alias='gapTargetMs')

    def decoded(self) -> deployment.Route:
        """Returns the route in the project's type."""
        split = tuple(
            (share.service, share.weight) for share in self.split or ()
        )
        if not split and self.service:
            split = ((self.service, 1),)
        return deployment.Route(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            kind=self.kind,
            split=split,
            timeout_ms=self.timeout_ms,
            latency_target_ms=self.target_ms,
            max_attempts=max(self.max_attempts, 1),
            priority=self.priority,
            anonymous=self.anonymous,
            resumable=self.resumable,
            max_event_gap_ms=self.pause_ms,
        )


class _Model(_Body):
    name: Strict
    size: int = 1  # upstreams in a group, not bytes
    share: float = 1.0
    pace: float = 1.0
    load_s: float = pydantic.Field(0.0, alias='loadS')
    warm_s: float = pydantic.Field(0.0, alias='warmS')


class _Usual(_Body):
    prompt: float = 1000.0
    answer: float = 100.0


class _Engine(_Body):
    slots: int = 1
    models: list[_Model] = []
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 10000.0  # prompt tokens prefilled in a second
    chunk: int = 1024  # most prompt tokens that one step prefills
    stride: int = 1  # steps in a pass
    usual: _Usual = _Usual()
    kv_tokens: int = pydantic.Field(0, alias='kvCapacity')
    form_ms: float = pydantic.Field(0.0, alias='formMs')
    loads_per_s: float = pydantic.Field(0.0, alias='loadsPerS')
    loads_at_once: int = 1

    def decoded(self) -> deployment.EngineProfile:
        """Returns the profile in the project's type."""
        return deployment.EngineProfile(
            slots=self.slots,
            models=tuple(
                deployment.ModelProfile(
                    item.name,
                    item.size,
                    item.share,
                    item.pace,
                    item.load_s,
                    item.warm_s,
                )
                for item in self.models
            ),
            step_ms=self.step_ms,
            step_ms_per_sequence=self.per_seq_ms,
            step_ms_per_1k_context=self.context_per_k,
            prefill_tokens_per_s=self.read_per_s,
            prefill_chunk_tokens=self.chunk,
            steps_per_pass=self.stride,
            typical_prompt_tokens=self.usual.prompt,
            typical_answer_tokens=self.usual.answer,
            kv_cache_tokens=self.kv_tokens,
            group_formation_ms=self.form_ms,
            loads_per_s=self.loads_per_s,
            max_concurrent_loads=self.loads_at_once,
        )


class _Service(_Body):
    name: Strict
    health_path: str = pydantic.Field('/', alias='healthPath')
    max_connections: int = pydantic.Field(1000, alias='maxConns')
    engine: _Engine | None = None


class _Account(_Body):
    name: Strict
    keys: list[str] = pydantic.Field([], alias='apiKeys')
    priority: int | None = None


class _Limits(_Body):
    header_bytes: int = pydantic.Field(16384, alias='maxHeaderBytes')
    body_bytes: int = pydantic.Field(4194304, alias='maxBodyBytes')
    header_ms: float = pydantic.Field(3000.0, alias='headerTimeoutMs')
    idle_ms: float = pydantic.Field(15000.0, alias='idleTimeoutMs')


class _Configuration(_Body):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Account] | None = None


class _ServedModel(_Body):
    name: Strict
    version: int = 0


class _Group(_Body):
    name: Strict
    epoch: Whole
    rank: Whole
    state: deployment.GroupState


class _Entry(_Body):
    service: Strict
    address: Strict
    zone: Strict = ''
    slots: Whole = 1
    state: typing.Literal['ready', 'draining']
    born: Whole = 0  # Unix milliseconds of the start
    domain: str | int = ''
    staged: list[str] = []
    models: list[_ServedModel] = []
    group: _Group | None = None


class _Report(_Body):
    phase: str = ''
    models: list[_ServedModel] = []
    queued: int = 0
    active: int = 0
    kv_used: int = pydantic.Field(0, alias='kvInUse')
    pace: float = 1.0
    born: Whole = 0
    staged: list[str] = []
    group: _Group | None = None


def decode_configuration(body: bytes) -> deployment.Configuration:
    """Decodes the operator's configuration.

    Args:
        body: Bytes of the row.

    Returns:
        The configuration.

    Raises:
        WireError: If the bytes are no configuration.
    """
    try:
        read = _Configuration.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise errors.WireError(
            f'{exc.error_count()} faults in the configuration', 'decode'
        )
    return deployment.Configuration(
        version=read.version,
        routes=deployment.RouteTable(item.decoded() for item in read.routes),
        services={
            item.name: deployment.Service(
                item.name,
                item.health_path,
                item.max_connections,
                item.engine.decoded() if item.engine else None,
            )
            for item in read.services
        },
        accounts={
            key: deployment.Account(item.name, item.priority)
            for item in read.tenants or ()
            for key in item.keys
        },
        limits=deployment.Limits(
            read.limits.header_bytes,
            read.limits.body_bytes,
            read.limits.header_ms,
            read.limits.idle_ms,
        ),
        requires_api_key=read.tenants is not None,
    )


def _membership(group, models) -> deployment.Membership | None:
    if group is None or group.state is deployment.GroupState.NONE:
        return None
    return deployment.Membership(
        group.name,
        group.epoch,
        group.rank,
        group.state,
        models[0].name if models else '',
    )


def decode_upstream(name: str, body: bytes) -> deployment.Upstream | None:
    """Decodes the entry of an upstream.

    Args:
        name: Key of the row.
        body: Bytes of the row; other writers may leave anything there.

    Returns:
        The upstream, ``None`` for an entry that names none.
    """
    try:
        read = _Entry.model_validate_json(body)
    except pydantic.ValidationError as exc:
        logs.event(
            'entry_skipped',
            'WARNING',
            entry=name,
            faults=exc.error_count(),
            first='.'.join(map(str, exc.errors()[0]['loc'])),
        )
        return None
    return deployment.Upstream(
        name=name,
        service=read.service,
        address=read.address,
        zone=read.zone,
        slots=read.slots,
        draining=read.state == 'draining',
        started_ms=read.born,
        domain=str(read.domain),
        staged=tuple(read.staged),
        membership=_membership(read.group, read.models),
    )


def decode_report(body: bytes) -> deployment.EngineReport:
    """Decodes an engine's report on itself.

    Args:
        body: Bytes of the answer.

    Returns:
        The report.

    Raises:
        WireError: If the bytes are no report.
    """
    try:
        read = _Report.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise errors.WireError(f'{exc.error_count()} faults', 'report')
    return deployment.EngineReport(
        started_ms=read.born,
        queued=read.queued,
        active=read.active,
        slowdown=read.pace,
        staged=tuple(read.staged),
        membership=_membership(read.group, read.models),
    )


def encode(value: dict) -> bytes:
    """Encodes a body of the platform.

    Args:
        value: What to encode.
    """
    return json.dumps(value, separators=(',', ':')).encode()
