"""Settings of a node on the platform: a JSON file, validated on load."""

import json
import pathlib

import pydantic

from plantainway import errors
from plantainway import settings


class EdgeListen(pydantic.BaseModel):
    """Addresses to listen on; an empty ``metrics`` opens no such port.

    ``relay`` takes requests from other nodes; if it is empty, it is the port
    after that of ``peer``.
    """

    caller: settings.Address
    directory: settings.Address
    readiness: settings.Address
    peer: settings.Address
    metrics: str = ''
    relay: str = ''

    def relay_address(self) -> str:
        """Returns the address that takes requests from other nodes."""
        host, _, port = self.peer.rpartition(':')
        return self.relay or f'{host}:{int(port) and int(port) + 1}'


class EdgeBounds(pydantic.BaseModel):
    """Limits agreed with the platform.

    ``stop_s`` is the time in seconds between SIGTERM and SIGKILL. Across all
    nodes, a service may get ``retry_ratio`` retries per request and
    ``retry_slack`` more in a window of ``retry_window_s`` seconds. Clients
    cache an answer of the directory for ``directory_ttl_s`` seconds or up to
    three times as long. A cold upstream may be sent ``cold_overshoot`` times
    its rate and ``cold_tolerance`` requests more in a second. What clients may
    hold is derived from the memory of the VM and the file descriptors of a
    process; without them it is not bounded.
    """

    stop_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0
    directory_ttl_s: float = pydantic.Field(1.0, gt=0.0)
    cold_overshoot: float = pydantic.Field(1.0, ge=0.0)
    cold_tolerance: float = pydantic.Field(0.0, ge=0.0)
    memory_mb: float = pydantic.Field(0.0, ge=0.0)
    max_fds: int = pydantic.Field(0, ge=0)


class EdgeSettings(pydantic.BaseModel):
    """All settings of a node.

    ``capacity`` is the fraction of a core that the node may use.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    node: str = pydantic.Field(min_length=1)
    zone: str
    region: str = ''
    store: settings.Address
    listen: EdgeListen
    bounds: EdgeBounds = EdgeBounds()
    capacity: float = 1.0
    log_level: str = 'INFO'


def load(path: str) -> EdgeSettings:
    """Reads and validates a settings file.

    Args:
        path: Path of the JSON file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return EdgeSettings.model_validate(json.loads(text))
    except OSError as exc:
        raise errors.SettingsError(str(exc), 'settings', path)
    except ValueError as exc:
        raise errors.SettingsError(str(exc), 'settings', path)
