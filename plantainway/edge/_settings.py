"""Settings of a node on the users' platform: JSON, checked at the start."""

import json
import pathlib

import pydantic

from plantainway import errors
from plantainway import settings


class EdgeListen(pydantic.BaseModel):
    """Addresses to listen on; ``metrics`` may be empty for none."""

    caller: settings.Address
    directory: settings.Address
    readiness: settings.Address
    peer: settings.Address
    metrics: str = ''


class EdgeBounds(pydantic.BaseModel):
    """Figures agreed with the platform, in seconds unless named otherwise.

    ``stop_s`` is the time between SIGTERM and SIGKILL. Over all nodes, a
    service may get ``retry_ratio`` repeats for each request and
    ``retry_slack`` more in a window of ``retry_window_s``. Clients keep an
    answer of the directory for ``directory_ttl_s`` or three times as long.
    """

    stop_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0
    directory_ttl_s: float = pydantic.Field(1.0, gt=0.0)


class EdgeSettings(pydantic.BaseModel):
    """All settings of a node; ``capacity`` weighs it against others."""

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
    """Reads and checks a settings file.

    Args:
        path: Path of the JSON file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file can't be read or is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return EdgeSettings.model_validate(json.loads(text))
    except OSError as exc:
        raise errors.SettingsError(str(exc), 'settings', path)
    except ValueError as exc:
        raise errors.SettingsError(str(exc), 'settings', path)
