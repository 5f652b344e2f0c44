"""Decodes message bodies of the platform into the project's types."""

import ipaddress
import json
import typing

import pydantic

from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway.platform import _names


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', populate_by_name=True)


StrictString = pydantic.StrictStr
StrictInteger = pydantic.StrictInt

# Bounds of an entry's numbers. Other writers may store any, and the next ones
# are derived from an epoch.
EPOCH_MAX = 1 << 48
TIME_MS_MAX = 1 << 53
SLOTS_MAX = 100000
RANK_MAX = 100000
PORT_MAX = 65535
COLD_FIELD_MAX = 1e9  # of a time in seconds, and of requests a second

_COLD_FIELD = pydantic.TypeAdapter(
    typing.Annotated[
        float | None,
        pydantic.Field(ge=0, le=COLD_FIELD_MAX, allow_inf_nan=False),
    ]
)


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(
        host[1:-1] if host.startswith('[') and host.endswith(']') else host
    )
    if not port.isascii() or not port.isdigit():
        raise ValueError('port is no number')
    if not 0 < int(port) <= PORT_MAX:
        raise ValueError('port out of range')
    return text


_Address = typing.Annotated[
    StrictString,
    pydantic.StringConstraints(max_length=64),
    pydantic.AfterValidator(_check_address),
]
_TimeMs = typing.Annotated[StrictInteger, pydantic.Field(ge=0, le=TIME_MS_MAX)]


class _ServiceShare(_Body):
    service: StrictString
    weight: float = 1.0


class _Route(_Body):
    name: StrictString
    host: StrictString
    prefix: StrictString
    # safe, unsafe or stream: whether requests may be sent again.
    kind: deployment.RouteKind = pydantic.Field(alias='routeType')
    timeout_ms: float = pydantic.Field(alias='timeoutMs')
    # Despite its name on the wire, this is the latency up to which an
    # answer gets full credit, not a service-level indicator.
    target_ms: float = pydantic.Field(alias='sloMs')
    priority: int = 5
    service: str | None = None
    split: list[_ServiceShare] | None = None
    max_attempts: int = pydantic.Field(1, alias='maxAttempts')
    anonymous: bool = False
    resumable: bool = False
    pause_ms: float = pydantic.Field(0.0, alias='gapTargetMs')

    def decoded(self) -> deployment.Route:
        """Returns the route as a ``deployment.Route``."""
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
    name: StrictString
    size: int = 1  # number of upstreams in a group, not bytes
    share: float = 1.0
    pace: float = 1.0
    load_s: float = pydantic.Field(0.0, alias='loadS')
    warm_s: float = pydantic.Field(0.0, alias='warmS')


class _TypicalRequest(_Body):
    prompt: float = 1000.0
    answer: float = 100.0


class _Engine(_Body):
    slots: int = 1
    models: list[_Model] = []
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 10000.0  # prompt tokens prefilled per second
    chunk: int = 1024  # maximum prompt tokens that one step prefills
    stride: int = 1  # steps per pass
    usual: _TypicalRequest = _TypicalRequest()
    kv_tokens: int = pydantic.Field(0, alias='kvCapacity')
    form_ms: float = pydantic.Field(0.0, alias='formMs')
    loads_per_s: float = pydantic.Field(0.0, alias='loadsPerS')
    loads_at_once: int = 1

    def decoded(self) -> deployment.EngineProfile:
        """Returns the profile as a ``deployment.EngineProfile``."""
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
    name: StrictString
    health_path: str = pydantic.Field('/', alias='healthPath')
    max_connections: int = pydantic.Field(1000, alias='maxConns')
    engine: _Engine | None = None
    cold_s: typing.Any = pydantic.Field(None, alias='coldS')
    cold_per_s: typing.Any = pydantic.Field(None, alias='coldPerS')

    def has_odd_cold_field(self) -> bool:
        """Returns whether a field on cold upstreams has an odd value."""
        return any(
            _decode_cold_field(value) is None
            for value in (self.cold_s, self.cold_per_s)
        )


class _Account(_Body):
    name: StrictString
    keys: list[str] = pydantic.Field([], alias='apiKeys')
    priority: int | None = None


class _Limits(_Body):
    header_bytes: int = pydantic.Field(16384, alias='maxHeaderBytes')
    body_bytes: int = pydantic.Field(4194304, alias='maxBodyBytes')
    header_ms: float = pydantic.Field(3000.0, alias='headerTimeoutMs')
    idle_ms: float = pydantic.Field(15000.0, alias='idleTimeoutMs')


class _Version(_Body):
    version: int


class _Configuration(_Body):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Account] | None = None


class _ServedModel(_Body):
    name: StrictString
    version: int = 0


class _Group(_Body):
    name: StrictString
    epoch: StrictInteger = pydantic.Field(ge=0, le=EPOCH_MAX)
    rank: StrictInteger = pydantic.Field(ge=0, le=RANK_MAX)
    state: deployment.GroupState


class _UpstreamEntry(_Body):
    service: StrictString
    address: _Address
    zone: StrictString = ''
    slots: StrictInteger = pydantic.Field(1, ge=1, le=SLOTS_MAX)
    state: typing.Literal['ready', 'draining']
    born: _TimeMs = 0  # start time in Unix milliseconds
    domain: str | int = ''
    staged: list[str] = []
    models: list[_ServedModel] = []
    group: _Group | None = None
    cold_left_ms: typing.Any = pydantic.Field(0, alias='coldLeftMs')


class _Report(_Body):
    phase: str = ''
    models: list[_ServedModel] = []
    queued: int = 0
    active: int = 0
    kv_used: int = pydantic.Field(0, alias='kvInUse')
    pace: float = 1.0
    born: _TimeMs = 0
    staged: list[str] = []
    group: _Group | None = None


def decode_configuration(body: bytes) -> deployment.Configuration:
    """Decodes the operator's configuration.

    Args:
        body: Value of the row that holds it, as JSON.

    Returns:
        The configuration.

    Raises:
        WireError: If the bytes are not a valid configuration.
    """
    try:
        parsed = _Configuration.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise errors.WireError(
            f'invalid configuration: {exc.error_count()} validation errors',
            'decode',
        )
    return deployment.Configuration(
        version=parsed.version,
        routes=deployment.RouteTable(item.decoded() for item in parsed.routes),
        services={
            item.name: deployment.Service(
                item.name,
                item.health_path,
                item.max_connections,
                item.engine.decoded() if item.engine else None,
                _decode_cold_field(item.cold_s) or 0.0,
                _decode_cold_field(item.cold_per_s) or 0.0,
            )
            for item in parsed.services
        },
        accounts={
            key: deployment.Account(item.name, item.priority)
            for item in parsed.tenants or ()
            for key in item.keys
        },
        limits=deployment.Limits(
            parsed.limits.header_bytes,
            parsed.limits.body_bytes,
            parsed.limits.header_ms,
            parsed.limits.idle_ms,
        ),
        requires_api_key=parsed.tenants is not None,
        odd_cold_services=tuple(
            item.name for item in parsed.services if item.has_odd_cold_field()
        ),
    )


def _decode_cold_field(value) -> float | None:
    """Returns a time or rate for cold upstreams, ``None`` if unreadable."""
    try:
        return _COLD_FIELD.validate_python(value) or 0.0
    except pydantic.ValidationError:
        return None


def configuration_version(body: bytes) -> int:
    """Returns the version of an operator's configuration.

    Args:
        body: Value of the row that holds it, as JSON.

    Returns:
        The version, -1 if the bytes have none.
    """
    try:
        return _Version.model_validate_json(body).version
    except pydantic.ValidationError as exc:
        logs.event('configuration_invalid', 'ERROR', faults=exc.error_count())
        return -1


def _decode_membership(group, models) -> deployment.Membership | None:
    if group is None or group.state is deployment.GroupState.NONE:
        return None
    return deployment.Membership(
        group.name,
        group.epoch,
        group.rank,
        group.state,
        models[0].name if models else '',
    )


def _decode_cold_left(value) -> int:
    """Returns a time in milliseconds, 0 for a value that is none.

    Entries with such a value still name an upstream.
    """
    is_time = isinstance(value, (int, float)) and 0 <= value <= TIME_MS_MAX
    return int(value) if is_time else 0


def decode_upstream(name: str, body: bytes) -> deployment.Upstream | None:
    """Decodes the entry that an upstream has registered in the store.

    An invalid entry is logged and skipped, so that it does not affect the
    other upstreams.

    Args:
        name: Key of the row, which is the name of the upstream.
        body: Value of the row; other writers may store arbitrary bytes.

    Returns:
        The upstream, ``None`` for an invalid entry.
    """
    try:
        parsed = _UpstreamEntry.model_validate_json(body)
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
        service=parsed.service,
        address=parsed.address,
        zone=parsed.zone,
        slots=parsed.slots,
        draining=parsed.state == 'draining',
        started_ms=parsed.born,
        domain=str(parsed.domain),
        staged=tuple(parsed.staged),
        membership=_decode_membership(parsed.group, parsed.models),
        cold_left_ms=_decode_cold_left(parsed.cold_left_ms),
    )


def evacuated_zone(key: str) -> str | None:
    """Returns the failure domain that a row asks to evacuate.

    The presence of the row counts, whatever its value.

    Args:
        key: Key of a row in the configuration table.

    Returns:
        The failure domain, ``None`` for any other row.
    """
    if not key.startswith(_names.EVACUATION_PREFIX):
        return None
    return key.removeprefix(_names.EVACUATION_PREFIX) or None


def decode_report(body: bytes) -> deployment.EngineReport:
    """Decodes the report of an engine on its own state.

    Args:
        body: Body of the response, as JSON.

    Returns:
        The report.

    Raises:
        WireError: If the bytes are not a valid report.
    """
    try:
        parsed = _Report.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise errors.WireError(
            f'invalid report: {exc.error_count()} validation errors', 'report'
        )
    return deployment.EngineReport(
        started_ms=parsed.born,
        queued=parsed.queued,
        active=parsed.active,
        slowdown=parsed.pace,
        staged=tuple(parsed.staged),
        membership=_decode_membership(parsed.group, parsed.models),
    )


def encode(value: dict) -> bytes:
    """Returns a message body of the platform as compact JSON.

    Args:
        value: Contents of the body.
    """
    return json.dumps(value, separators=(',', ':')).encode()
