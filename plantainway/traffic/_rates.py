"""Requests to upstreams that take only so many requests a second."""

from plantainway import errors


class RateGate:
    """Gets permits for requests to limited upstreams.

    Args:
        source: Source of the permits.
        loads: Requests in progress by upstream.
        clock: Source of monotonic time.
    """

    def __init__(self, source, loads, clock):
        self._source = source
        self._loads = loads
        self._clock = clock
        self._next_permit_at: dict[object, float] = {}

    def split(self, upstreams) -> tuple[list, list]:
        """Returns the unlimited and the limited ones of some upstreams.

        Args:
            upstreams: The upstreams.
        """
        unlimited, limited = [], []
        for item in upstreams:
            is_limited = self._source.is_limited(item)
            (limited if is_limited else unlimited).append(item)
        return unlimited, limited

    async def try_acquire(self, key, limited):
        """Returns a limited upstream to use now, ``None`` without a permit.

        After a refusal the source is not asked again before the time that it
        has named.

        Args:
            key: What the upstreams are chosen for, such as a model.
            limited: Limited upstreams.
        """
        if self._clock.now() < self._next_permit_at.get(key, 0.0):
            return None
        try:
            return await self.acquire(limited, 0.0)
        except errors.NotRunError as exc:
            self._next_permit_at[key] = self._clock.now() + exc.retry_after_s
            return None

    async def acquire(self, limited, max_wait_s: float):
        """Waits for a permit for one of some limited upstreams.

        Args:
            limited: Limited upstreams.
            max_wait_s: Longest time for which the request can wait.

        Returns:
            The upstream.

        Raises:
            NotRunError: At once, if there is no permit within that time.
        """
        by_load = sorted(
            limited, key=lambda item: self._loads.total(item.name)
        )
        return await self._source.acquire(by_load, max_wait_s)

    def forget(self, name: str) -> None:
        """Drops the limit of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """
        self._source.forget(name)
