"""Settings of a node, read from JSON and validated at startup."""

import ipaddress
import json
import pathlib
import typing

import pydantic

from plantainway import errors

MAX_PORT = 65535


class StrictModel(pydantic.BaseModel):
    """Base model that rejects unknown keys and does not coerce types."""

    model_config = pydantic.ConfigDict(
        extra='forbid', strict=True, frozen=True
    )


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f'{text!r} is not IP:PORT with a numeric IP address')
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f'{text!r} needs a port from 0 to {MAX_PORT}')
    return text


def _check_url(text: str) -> str:
    scheme, _, rest = text.partition('://')
    if scheme not in ('http', 'https'):
        raise ValueError(f'{text!r} is not an http or https URL')
    _check_address(rest.rstrip('/'))
    return text.rstrip('/')


Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
Url = typing.Annotated[str, pydantic.AfterValidator(_check_url)]
Name = typing.Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'
    ),
]


class Listen(StrictModel):
    """Addresses on which a node accepts connections."""

    caller: Address
    operator: Address
    peer: Address


class PlatformEndpoints(StrictModel):
    """Addresses of the platform's services."""

    table: Url
    object_store: Url
    vm_list: Url
    weight_store: Url


class OperatorKey(StrictModel):
    """Salted digest of an operator's key, both in hexadecimal."""

    name: Name
    salt: str = pydantic.Field(pattern='^[0-9a-f]{32}$')
    digest: str = pydantic.Field(pattern='^[0-9a-f]{64}$')


class Settings(StrictModel):
    """Settings of a node, fixed while it runs."""

    node: Name
    region: Name
    failure_domain: Name
    place: Name
    listen: Listen
    advertise: Listen | None = None
    platform: PlatformEndpoints
    seed_peers: list[Address] = []
    operator_keys: list[OperatorKey] = pydantic.Field(min_length=1)
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'

    @pydantic.model_validator(mode='after')
    def _check_listen(self):
        addresses = [
            address
            for address in (
                self.listen.caller,
                self.listen.operator,
                self.listen.peer,
            )
            if not address.endswith(':0')
        ]
        if len(set(addresses)) != len(addresses):
            raise ValueError('listen: two addresses are the same')
        if self.listen.peer in self.seed_peers:
            raise ValueError('seed_peers: names the node itself')
        return self


def parse(text: str, source: str = 'settings') -> Settings:
    """Parses and validates settings.

    Args:
        text: JSON document.
        source: Name of the document, for error messages.

    Returns:
        The settings.

    Raises:
        SettingsError: If a key is unknown, missing or of a wrong type.
    """
    try:
        return Settings.model_validate_json(text)
    except pydantic.ValidationError as exc:
        lines = [
            '.'.join(str(part) for part in fault['loc']) + ': ' + fault['msg']
            for fault in exc.errors(include_url=False)
        ]
        raise errors.SettingsError('; '.join(lines), 'settings', source)


def load(path: str) -> Settings:
    """Reads settings from a file.

    Args:
        path: Path of a JSON file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file can't be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(str(exc), 'settings', path)
    return parse(text, path)


def dump(cfg: Settings) -> dict:
    """Returns settings as a JSON-serializable dict without key digests.

    Args:
        cfg: Settings to show.
    """
    shown = json.loads(cfg.model_dump_json(exclude={'operator_keys'}))
    shown['operator_keys'] = [key.name for key in cfg.operator_keys]
    return shown
