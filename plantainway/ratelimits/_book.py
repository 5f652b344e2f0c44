"""The limits that upstreams name in their answers."""

import dataclasses
import math

from plantainway import logs


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """What an incarnation of an upstream named last.

    ``per_second`` is in requests a second, ``None`` once an answer came
    without a limit.
    """

    started_ms: int
    per_second: float | None


class LimitBook:
    """Limits of upstreams, as their answers to this node name them."""

    def __init__(self):
        self._limits: dict[str, NamedLimit] = {}

    def observe(self, upstream, per_second: float | None) -> None:
        """Records what an answer of an upstream says of its limit.

        Args:
            upstream: The upstream, as it was known when it was called.
            per_second: Requests a second that it takes from all nodes
                together, ``None`` if it named no limit. NaN, which stands for
                an unreadable value, is ignored.
        """
        known = self._limits.get(upstream.name)
        if known is None and per_second is None:
            return
        if per_second is not None and math.isnan(per_second):
            return
        limit = NamedLimit(upstream.started_ms, per_second)
        if limit != known:
            self._limits[upstream.name] = limit
            logs.event(
                'upstream_limit',
                upstream=upstream.name,
                per_second=per_second,
                was=known.per_second if known else None,
            )

    def forget(self, name: str) -> None:
        """Drops the limit of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """
        self._limits.pop(name, None)

    def in_force(self) -> dict[str, float]:
        """Returns the limits in force by upstream, in requests a second."""
        return {
            name: limit.per_second
            for name, limit in self._limits.items()
            if limit.per_second is not None
        }
