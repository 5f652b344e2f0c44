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

    ``split`` holds (service, weight) pairs. ``timeout_ms``, ``target_ms``
    and ``pause_ms`` are the operator's figures: the longest time a request
    is kept, the time within which an answer counts as prompt (for streams
    their first event), and the longest pause between events.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    split: tuple[tuple[str, int], ...]
    timeout_ms: float
    target_ms: float
    max_attempts: int
    priority: int
    anonymous: bool
    resumable: bool
    pause_ms: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ModelProfile:
    """A model of an engine; times in seconds.

    ``pace`` multiplies the step times, ``share`` is the model's part of the
    work expected at the start.
    """

    name: str
    members: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Published figures of a service's engines; times in milliseconds."""

    slots: int
    models: tuple[ModelProfile, ...]
    step_ms: float
    sequence_ms: float
    context_ms_per_k: float
    prefill_per_s: float
    prefill_chunk: int
    stride: int
    usual_prompt: float
    usual_answer: float
    kv_tokens: int
    form_ms: float
    loads_per_s: float
    loads_at_once: int

    def longest_pass_s(self, model: str) -> float:
        """Returns the longest time that a group may take for one pass.

        A pass with full slots and as many prompt tokens as fit into it.

        Args:
            model: Name of the model.
        """
        step_s = (self.step_ms + self.slots * self.sequence_ms) / 1000
        chunk_s = self.prefill_chunk / max(self.prefill_per_s, 1.0)
        found = self.model(model)
        pace = found.pace if found is not None else 1.0
        return self.stride * (step_s + chunk_s) * pace

    def work_s(self, model: str, prompt: float, answer: float) -> float:
        """Returns how long a stream keeps a group busy at a usual load.

        Args:
            model: Name of the model.
            prompt: Prompt tokens.
            answer: Answer tokens.

        Returns:
            Seconds of a group that runs half of its slots.
        """
        batch = max(self.slots / 2, 1.0)
        step_s = (self.step_ms + batch * self.sequence_ms) / 1000
        found = self.model(model)
        pace = found.pace if found is not None else 1.0
        prefill_s = prompt / max(self.prefill_per_s, 1.0)
        return (prefill_s + answer * step_s / batch) * pace

    def model(self, name: str) -> ModelProfile | None:
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
    keyed: bool

    def account(self, key: str) -> Account | None:
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
