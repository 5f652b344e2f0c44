"""Schemas of the declared objects and their parsing."""

import dataclasses
import json
import pathlib
import typing

import pydantic

from plantainway.objects import _faults
from plantainway import settings

Strict = settings.StrictModel
Name = settings.Name
Weight = typing.Annotated[float, pydantic.Field(ge=0, le=1e6)]


class Model(Strict):
    """A model that callers can request by name."""

    kind: typing.Literal['model']
    name: Name
    default_version: Name


class ModelVersion(Strict):
    """One version of a model, with the name of its weights."""

    kind: typing.Literal['model_version']
    name: Name
    model: Name
    weights: Name
    replaces: Name | None = None


class Adapter(Strict):
    """An adapter applied to a model version."""

    kind: typing.Literal['adapter']
    name: Name
    model_version: Name
    weights: Name


class ReplicaGroup(Strict):
    """Copies of a model version; each spans one or more VMs."""

    kind: typing.Literal['replica_group']
    name: Name
    model_version: Name
    adapters: list[Name] = []
    copies: int = pydantic.Field(ge=0, le=10000)
    extra_copies: int = pydantic.Field(ge=0, le=10000, default=0)
    vms_per_copy: int = pydantic.Field(ge=1, le=1024)
    fabric_domains: list[Name] = pydantic.Field(min_length=1)
    downtime_weight: Weight = 1.0
    stranded_weight: Weight = 1.0
    value: Weight = 1.0


class KeyDigest(Strict):
    """Salted digest of a caller's key; salt and digest in hexadecimal."""

    salt: str = pydantic.Field(pattern='^[0-9a-f]{32}$')
    digest: str = pydantic.Field(pattern='^[0-9a-f]{64}$')


class Limits(Strict):
    """Limits of an account, summed over all nodes."""

    concurrent: int = pydantic.Field(ge=0)
    requests_per_second: float = pydantic.Field(ge=0)
    tokens_per_second: float = pydantic.Field(ge=0)


class ClientAccount(Strict):
    """A client account with its keys, limits and allowed targets."""

    kind: typing.Literal['client_account']
    name: Name
    keys: list[KeyDigest] = pydantic.Field(min_length=1)
    priority: Name
    limits: Limits
    models: list[Name] = []
    services: list[Name] = []


class Priority(Strict):
    """A priority class; requests of a lower rank are served first."""

    kind: typing.Literal['priority']
    name: Name
    rank: int = pydantic.Field(ge=0, le=100)


class Place(Strict):
    """A failure domain of the platform."""

    kind: typing.Literal['place']
    name: Name
    region: Name


class FabricDomain(Strict):
    """VMs of one place that a fast network fabric connects."""

    kind: typing.Literal['fabric_domain']
    name: Name
    place: Name


class Upstream(Strict):
    """A VM with a model engine, or one instance of a plain service."""

    kind: typing.Literal['upstream']
    name: Name
    type: typing.Literal['runner', 'service']
    address: settings.Address
    place: Name
    fabric_domain: Name | None = None
    accelerators: int = pydantic.Field(ge=0, default=0)
    checks_fencing: bool = False
    service: Name | None = None
    repeatable: bool = False

    @pydantic.model_validator(mode='after')
    def _check_type(self):
        if self.type == 'runner' and not self.fabric_domain:
            raise ValueError(
                'an upstream of type runner requires fabric_domain'
            )
        if self.type == 'service' and not self.service:
            raise ValueError('an upstream of type service requires service')
        return self


KINDS = {
    'model': Model,
    'model_version': ModelVersion,
    'adapter': Adapter,
    'replica_group': ReplicaGroup,
    'client_account': ClientAccount,
    'priority': Priority,
    'place': Place,
    'fabric_domain': FabricDomain,
    'upstream': Upstream,
}


@dataclasses.dataclass(frozen=True)
class ObjectSet:
    """Declared objects by kind and name."""

    by_id: dict[tuple[str, str], Strict]

    def of_kind(self, kind: str) -> dict:
        """Returns the objects of one kind by name.

        Args:
            kind: Kind to select.
        """
        return {
            name: item
            for (item_kind, name), item in self.by_id.items()
            if item_kind == kind
        }

    def get(self, kind: str, name: str):
        """Returns one object, or ``None`` if it is not declared.

        Args:
            kind: Kind of the object.
            name: Name of the object.
        """
        return self.by_id.get((kind, name))


def parse_object(raw, source: str) -> tuple:
    """Validates one declared object.

    Args:
        raw: Decoded JSON value.
        source: Origin of the value, named in faults.

    Returns:
        The object, or ``None`` if it is invalid, and the list of faults.
    """
    if not isinstance(raw, dict):
        return None, [
            _faults.Fault(
                'not_an_object', source, '', 'expected a JSON object'
            )
        ]
    kind = raw.get('kind')
    label = f'{kind}/{raw.get("name", "?")}'
    if not isinstance(kind, str) or kind not in KINDS:
        return None, [
            _faults.Fault(
                'unknown_kind', label, 'kind', f'kind {kind!r} does not exist'
            )
        ]
    try:
        return KINDS[kind].model_validate_json(json.dumps(raw)), []
    except pydantic.ValidationError as exc:
        return None, [
            _faults.Fault(
                'invalid_field',
                label,
                '.'.join(str(part) for part in fault['loc']),
                fault['msg'],
            )
            for fault in exc.errors(include_url=False)
        ]


def parse_objects(raws: list, source: str = 'objects') -> tuple:
    """Validates a list of declared objects.

    Of several objects with the same kind and name the last one is kept.

    Args:
        raws: Decoded JSON values.
        source: Origin of the values, named in faults.

    Returns:
        The set of valid objects, and the list of faults.
    """
    by_id = {}
    faults = []
    for index, raw in enumerate(raws):
        item, item_faults = parse_object(raw, f'{source}[{index}]')
        faults.extend(item_faults)
        if item is None:
            continue
        object_id = (item.kind, item.name)
        if object_id in by_id:
            faults.append(
                _faults.Fault(
                    'duplicate',
                    f'{item.kind}/{item.name}',
                    'name',
                    'another object has the same kind and name',
                )
            )
        by_id[object_id] = item
    return ObjectSet(by_id), faults


def parse_documents(paths) -> tuple:
    """Reads and validates declared objects from JSON files.

    Each file holds one object or a list of objects.

    Args:
        paths: Paths of the files.

    Returns:
        The set of valid objects, and the list of faults.
    """
    raws = []
    faults = []
    for path in paths:
        try:
            content = json.loads(
                pathlib.Path(path).read_text(encoding='utf-8')
            )
        except (OSError, ValueError) as exc:
            faults.append(_faults.Fault('unreadable', str(path), '', str(exc)))
            continue
        raws.extend(content if isinstance(content, list) else [content])
    parsed, validation_faults = parse_objects(raws)
    return parsed, faults + validation_faults
