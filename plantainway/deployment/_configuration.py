"""The operator's configuration: routes, services, accounts and limits."""

import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """Whether requests of a route may be sent more than once.

    Requests of a ``SAFE`` route may be, those of an ``UNSAFE`` route may
    not. Those of a ``STREAM`` route may be if the route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one path prefix of a host.

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
        """Whether a request may be executed more than once."""
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
    """Performance figures that a service publishes for its engines.

    A pass of an engine is ``steps_per_pass`` steps. A step takes
    ``step_ms`` plus ``step_ms_per_sequence`` for each running sequence, and
    prefills up to ``prefill_chunk_tokens`` prompt tokens. The typical token
    counts are those of an average request. ``loads_per_s`` and
    ``max_concurrent_loads`` limit how fast engines may load weights.
    """

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
        """Returns the longest duration of one pass of a group.

        Assumes that all slots are in use and that each step prefills a
        whole chunk.

        Args:
            model: Name of the model.

        Returns:
            Duration in seconds.
        """
        step_s = (self.step_ms + self.slots * self.step_ms_per_sequence) / 1000
        chunk_s = self.prefill_chunk_tokens / max(
            self.prefill_tokens_per_s, 1.0
        )
        model_profile = self.find_model(model)
        factor = (
            model_profile.step_time_factor
            if model_profile is not None
            else 1.0
        )
        return self.steps_per_pass * (step_s + chunk_s) * factor

    def prefill_duration_s(self, model: str) -> float:
        """Returns how long a group prefills a typical prompt.

        Assumes that all slots are in use.

        Args:
            model: Name of the model.

        Returns:
            Duration in seconds.
        """
        step_s = self.max_pass_duration_s(model) / max(self.steps_per_pass, 1)
        chunks = self.typical_prompt_tokens / max(self.prefill_chunk_tokens, 1)
        return chunks * step_s

    def estimate_busy_s(
        self, model: str, prompt: float, answer: float
    ) -> float:
        """Estimates the time of a group that one stream takes up.

        Assumes that half of the slots are in use, and divides the duration
        of a step between them.

        Args:
            model: Name of the model.
            prompt: Number of prompt tokens.
            answer: Number of answer tokens.

        Returns:
            Time in seconds.
        """
        batch = max(self.slots / 2, 1.0)
        step_s = (self.step_ms + batch * self.step_ms_per_sequence) / 1000
        model_profile = self.find_model(model)
        factor = (
            model_profile.step_time_factor
            if model_profile is not None
            else 1.0
        )
        prefill_s = prompt / max(self.prefill_tokens_per_s, 1.0)
        return (prefill_s + answer * step_s / batch) * factor

    def find_model(self, name: str) -> ModelProfile | None:
        """Returns the model of a name, ``None`` if it is not configured.

        Args:
            name: Name of the model.
        """
        return next((m for m in self.models if m.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    After a start during traffic its upstreams are cold for ``cold_s`` seconds
    and take ``cold_per_s`` requests per second meanwhile; 0 if they are never
    cold.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; a ``priority`` of ``None`` sets none."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests of a client; times in milliseconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class RouteTable:
    """Maps hosts and path prefixes to routes.

    Args:
        routes: All routes.
    """

    def __init__(self, routes):
        self._hosts: dict[str, dict[str, Route]] = {}
        self._priorities: dict[str, set[int]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
            for service, _weight in route.split:
                self._priorities.setdefault(service, set()).add(route.priority)

    def priorities(self, service: str) -> frozenset[int]:
        """Returns the priorities of the routes to a service.

        Args:
            service: Name of the service.
        """
        return frozenset(self._priorities.get(service, ()))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest match of a path.

        Args:
            host: Host of the request, without a port.
            path: Path of the request, without its query.

        Returns:
            The route, ``None`` if no prefix of the host matches.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        # Prefixes begin and end with a slash, so only parts of the path
        # that end with one can match.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete version of the configuration.

    ``services`` is keyed by name, ``accounts`` by API key.
    ``requires_api_key`` is false if the operator configured no list of
    accounts; requests are then served without a key. ``odd_cold_services``
    names the services with an unreadable time or rate for cold upstreams,
    which counts as 0.
    """

    version: int
    routes: RouteTable
    services: dict[str, Service]
    accounts: dict[str, Account]
    limits: Limits
    requires_api_key: bool
    odd_cold_services: tuple[str, ...] = ()

    def find_account(self, key: str) -> Account | None:
        """Returns the client account of an API key, ``None`` if unknown.

        Args:
            key: API key as the client sent it.
        """
        return self.accounts.get(key)

    @functools.cached_property
    def engines(self) -> dict[str, EngineProfile]:
        """Engine profiles by service, without services that have none."""
        return {
            name: service.engine
            for name, service in self.services.items()
            if service.engine is not None
        }

    @functools.cached_property
    def ranked_services(self) -> frozenset[str]:
        """Services to which routes of different priorities lead."""
        return frozenset(
            name
            for name in self.services
            if len(self.routes.priorities(name)) > 1
        )
