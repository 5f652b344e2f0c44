"""Upstreams that have asked for no requests for some time."""


class PauseBook:
    """Keeps until when upstreams want no requests from this node.

    A pause is no failure: the upstream is used again right at its end.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._paused_until: dict[str, float] = {}

    def pause(self, name: str, pause_s: float) -> None:
        """Records that an upstream asks for a pause.

        Args:
            name: Name of the upstream.
            pause_s: Seconds from now; a shorter pause than before is ignored.
        """
        until = self._clock.now() + pause_s
        self._paused_until[name] = max(
            until, self._paused_until.get(name, 0.0)
        )

    def remaining_s(self, name: str) -> float:
        """Returns for how many seconds an upstream still wants no requests.

        Args:
            name: Name of the upstream.
        """
        until = self._paused_until.get(name, 0.0)
        return max(until - self._clock.now(), 0.0)

    def forget(self, name: str) -> None:
        """Drops the pause of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """
        self._paused_until.pop(name, None)
