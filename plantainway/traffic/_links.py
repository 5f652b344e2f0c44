"""Tells whether this node has lost its links to the upstreams.

An upstream that can't be reached is no evidence against it while this node
reaches no other one either.
"""

# Upstreams that fail without a sign of life of any before links are checked.
FAILURES_MIN = 2
# Upstreams that refuse new connections; open ones may live on meanwhile.
UNREACHED_MIN = 3
# One failure suffices if no upstream has sent anything for this long.
QUIET_S = 0.5
FAILURE_TTL_S = 5.0  # requests wait seconds for an upstream that is silent
UNREACHED_TTL_S = 2.0
CHECKED_UPSTREAMS = 4  # in one check, of different failure domains
# Rounds without any answer after which the links count as lost.
FAILED_CHECKS_MIN = 2
REGAINED_MIN = 2  # upstreams that answer in one check


class LinkMonitor:
    """Counts failures of upstreams since the last sign of life of any.

    Args:
        clock: Source of monotonic time.

    Attributes:
        is_lost: Whether the links to the upstreams are lost.
        on_suspicious: Called when the links should be checked soon.
        on_change: Called when ``is_lost`` has changed.
    """

    def __init__(self, clock):
        self._clock = clock
        self._failed_at: dict[str, float] = {}
        self._unreached_at: dict[str, float] = {}
        self._failed_checks = 0
        self._contact_at = clock.now()
        self.is_lost = False
        self.on_suspicious = []
        self.on_change = []

    def record_contact(self) -> None:
        """Records that an upstream has sent something.

        A lost link may still deliver what was under way, or live on while
        new connections are refused; so this alone does not regain it.
        """
        self._failed_at.clear()
        self._contact_at = self._clock.now()

    def record_failure(self, name: str) -> None:
        """Records that an upstream was not reached, or has fallen silent.

        Args:
            name: Name of the upstream.
        """
        self._failed_at[name] = self._clock.now()
        self._notify_if_suspicious()

    def record_unreached(self, name: str) -> None:
        """Records that no connection to an upstream could be opened.

        Args:
            name: Name of the upstream.
        """
        self._unreached_at[name] = self._clock.now()
        self.record_failure(name)

    def _notify_if_suspicious(self) -> None:
        if self.is_suspicious:
            for listener in self.on_suspicious:
                listener()

    @property
    def is_suspicious(self) -> bool:
        """Returns whether the links should be checked."""
        is_quiet = self._clock.now() - self._contact_at >= QUIET_S
        return (
            self.is_lost
            or self._count_recent(self._failed_at, FAILURE_TTL_S)
            >= (1 if is_quiet else FAILURES_MIN)
            or self._count_recent(self._unreached_at, UNREACHED_TTL_S)
            >= UNREACHED_MIN
        )

    def _count_recent(self, failed_at: dict[str, float], ttl_s) -> int:
        oldest = self._clock.now() - ttl_s
        for name in [name for name, at in failed_at.items() if at < oldest]:
            del failed_at[name]
        return len(failed_at)

    def record_check(self, reached: int, asked: int) -> None:
        """Records a check of upstreams over new connections.

        Args:
            reached: Number of upstreams that answered.
            asked: Number of upstreams asked.
        """
        if not asked:
            return
        if reached >= min(REGAINED_MIN, asked):
            self._failed_checks = 0
            self.record_contact()
            self._unreached_at.clear()
            self._set_lost(False)
        elif not reached:
            self._failed_checks += 1
            if self._failed_checks >= FAILED_CHECKS_MIN:
                self._set_lost(True)

    def _set_lost(self, is_lost: bool) -> None:
        if is_lost != self.is_lost:
            self.is_lost = is_lost
            for listener in self.on_change:
                listener()


def choose_checked(upstreams, rng) -> list:
    """Returns upstreams for a check, of as many failure domains as possible.

    Args:
        upstreams: All upstreams.
        rng: Source of randomness.
    """
    by_domain: dict[tuple, list] = {}
    for item in upstreams:
        by_domain.setdefault((item.service, item.domain), []).append(item)
    domains = list(by_domain.values())
    rng.shuffle(domains)
    chosen = []
    while domains and len(chosen) < CHECKED_UPSTREAMS:
        for items in list(domains):
            chosen.append(items.pop(rng.randrange(len(items))))
            if not items:
                domains.remove(items)
            if len(chosen) == CHECKED_UPSTREAMS:
                break
    return chosen
