"""Adapter to the users' platform: its names, message formats and calls.

It makes no decisions.
"""

from plantainway.platform._ingress import DirectoryServer
from plantainway.platform._ingress import Ingress
from plantainway.platform._ingress import StatusServer
from plantainway.platform._intake import ConnectionBook
from plantainway.platform._intake import IntakeBounds
from plantainway.platform._messages import configuration_version
from plantainway.platform._messages import decode_configuration
from plantainway.platform._messages import decode_upstream
from plantainway.platform._messages import evacuated_zone
from plantainway.platform._names import CONFIG_KEY
from plantainway.platform._names import CONFIG_TABLE
from plantainway.platform._names import SETTINGS_VARIABLE
from plantainway.platform._names import UPSTREAM_TABLE
from plantainway.platform._relay import RelayClient
from plantainway.platform._store import is_lost_evacuation
from plantainway.platform._store import PlatformStore
from plantainway.platform._upstreams import new_session
from plantainway.platform._upstreams import RunnerClient
