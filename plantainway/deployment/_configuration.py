"""One version of the configuration and the choice of a route."""

import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """What may be repeated: safe work, nothing, or streams."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A path prefix of a host and how its requests are handled.

    ``split`` holds (service, weight) pairs. The operator configures three
    times: ``timeout_ms`` is the longest time that a request is kept,
    ``latency_target_ms`` the time within which an answer (of a stream: its
    first event) counts as prompt, and ``max_event_gap_ms`` the longest gap
    between two events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    split: tuple[tuple[str, int], ...]
    timeout_ms: float
    latency_target_ms: float
    max_attempts: int
    priority: int
    anonymous: bool
    resumable: bool
    max_event_gap_ms: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ModelProfile:
    """A model that an engine can serve; times in seconds.

    ``members`` is the number of upstreams in a group of the model,
    ``share`` the model's part of the load expected at the start, and
    ``step_time_factor`` multiplies the engine's step times.
    """

    name: str
    members: int
    share: float
    step_time_factor: float
    load_s: float
    warmup_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Published figures of a service's engines; times in milliseconds."""

    slots: int
    models: tuple[ModelProfile, ...]
    step_ms: float
    step_ms_per_sequence: float
    step_ms_per_1k_context: float
    prefill_tokens_per_s: float
    prefill_chunk_tokens: int
    steps_per_pass: int
    typical_prompt_tokens: float
    typical_answer_tokens: float
    kv_cache_tokens: int
    group_formation_ms: float
    loads_per_s: float
    max_concurrent_loads: int

    def max_pass_duration_s(self, model: str) -> float:
        """Returns the longest time that a group may take for one pass.

        A pass with full slots and as many prompt tokens as fit into it.

        Args:
            model: Name of the model.
        """
        step_s = (self.step_ms + self.slots * self.step_ms_per_sequence) / 1000
        chunk_s = self.prefill_chunk_tokens / max(
            self.prefill_tokens_per_s, 1.0
        )
        found = self.find_model(model)
        factor = found.step_time_factor if found is not None else 1.0
        return self.steps_per_pass * (step_s + chunk_s) * factor

    def estimate_busy_s(
        self, model: str, prompt: float, answer: float
    ) -> float:
        """Returns how long a stream keeps a group busy at a usual load.

        Args:
            model: Name of the model.
            prompt: Prompt tokens.
            answer: Answer tokens.

        Returns:
            Seconds of a group that runs half of its slots.
        """
        batch = max(self.slots / 2, 1.0)
        step_s = (self.step_ms + batch * self.step_ms_per_sequence) / 1000
        found = self.find_model(model)
        factor = found.step_time_factor if found is not None else 1.0
        prefill_s = prompt / max(self.prefill_tokens_per_s, 1.0)
        return (prefill_s + answer * step_s / batch) * factor

    def find_model(self, name: str) -> ModelProfile | None:
        """Returns a model by name, ``None`` if there is none.

        Args:
            name: Name of the model.
        """
        return next((m for m in self.models if m.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of upstreams that do the same work."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a client may send; times in milliseconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class RouteTable:
    """Finds the route of a request by host and longest prefix.

    Args:
        routes: All routes.
    """

    def __init__(self, routes):
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, ``None`` if none fits.

        Args:
            host: Host of the request, without a port.
            path: Path of the request, without its query.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        # Prefixes begin and end with a slash, so only the beginnings of the
        # path that end with one can match.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration, complete."""

    version: int
    routes: RouteTable
    services: dict[str, Service]
    accounts: dict[str, Account]
    limits: Limits
    requires_api_key: bool

    def find_account(self, key: str) -> Account | None:
        """Returns the client account that holds a key.

        Args:
            key: Key as the client sent it.
        """
        return self.accounts.get(key)

    @functools.cached_property
    def engines(self) -> dict[str, EngineProfile]:
        """Returns the engine profiles by service."""
        return {
            name: service.engine
            for name, service in self.services.items()
            if service.engine is not None
        }
