"""Rebalancing of capacity between models by measured demand."""

import dataclasses
import math

from plantainway.supply import _demand
from plantainway.supply import _pacing
from plantainway.supply import _plan
from plantainway.supply import _repair
from plantainway.supply import _state

# At the peak of a demand that swings by 0.55, groups at a mean utilisation of
# 0.4 are at 0.62, where one request in twenty is late.
MIN_UTILIZATION = 0.4
# Below this ratio a move gains less than the loads cost; see
# docs/design/rebalancing.md.
MIN_IMBALANCE_RATIO = 1.5
DONOR_HEADROOM = 1.5  # about the peak of a demand that swings by 0.55
# In a part of the period, swings alone can show a ratio of up to 3 and a peak
# of a third of the true one. With these values they cause one move at most;
# see docs/design/rebalancing.md.
EARLY_IMBALANCE_RATIO = 2.25
EARLY_FURTHER_RATIO = 3.0  # while other moves are in progress
EARLY_DONOR_HEADROOM = 2.0
# Two periods of the swing; a model that has gained groups keeps them so long,
# unless a model that has given groups away is short of them. At a utilisation
# of 0.7 every tenth request is late.
DONOR_HOLD_S = 34.0
HOLD_UTILIZATION = 0.7
MOVE_MARGIN_S = 2.0  # for leaving a group and joining the next one


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Engines of one domain that pass from one model to another.

    ``closing`` names the groups of the donor to close, none if idle engines
    suffice. ``gained`` is the number of groups that the receiver gets.
    ``corrections`` are added to the base targets of both models.
    """

    domain: str
    donor: str
    receiver: str
    closing: tuple[str, ...]
    gained: int
    corrections: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Progress:
    """A move in progress.

    ``target`` is the number of groups of the receiver that the domain should
    get, ``deadline`` is in monotonic seconds.
    """

    move: Move
    target: int
    deadline: float

    def missing(self, view) -> int:
        """Returns how many groups of the move have yet to be formed."""
        missing = self.target - _count_groups(view, self.move.receiver)
        return min(max(missing, 0), self.move.gained)

    def is_done(self, view) -> bool:
        """Returns whether all groups of the move are open."""
        groups = _count_groups(view, self.move.receiver, only_open=True)
        return groups >= self.target


class Balancer:
    """Decides when capacity moves between models, and tracks the moves.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._corrections: dict[str, int] = {}
        self._moves: dict[str, _Progress] = {}
        self._held_until: dict[str, float] = {}
        # Groups by model that the measured peak needs with headroom.
        self._needed: dict[str, int] = {}

    @property
    def domains(self) -> frozenset:
        """Returns the domains with a move in progress."""
        return frozenset(self._moves)

    def adopt(self, views, profile, targets, deadline: float) -> None:
        """Replaces all state by what the groups and engines show.

        A model with more groups than its share, counting those that its idle
        and loading engines can form, keeps them, as far as models with fewer
        groups give up engines for them. Groups that are still to be formed
        of such engines count as moves in progress.

        Args:
            views: The fabric domains.
            profile: The engine profile.
            targets: Targets by share.
            deadline: Monotonic seconds by which the moves should have ended.
        """
        self._moves.clear()
        self._held_until.clear()
        self._needed.clear()
        existing = {
            model.name: sum(
                _count_groups(view, model.name) + _formable_groups(view, model)
                for view in views
            )
            for model in profile.models
        }
        self._corrections = _implied_corrections(profile, targets, existing)
        for model in profile.models:
            left = max(self._corrections.get(model.name, 0), 0)
            for view in views:
                formable = min(_formable_groups(view, model), left)
                if formable > 0 and view.domain not in self._moves:
                    left -= formable
                    added = {model.name: formable}
                    move = Move(
                        view.domain, '', model.name, (), formable, added
                    )
                    self._corrections[model.name] -= formable
                    self.begin(move, views, deadline)

    def correct(self, targets: dict, views) -> dict:
        """Returns the targets by share with all moves applied.

        A former donor keeps the groups that its measured peak needs, as far
        as its share allows, also if the peak has risen since the move.

        Groups that a move has yet to form are left out: other engines, such
        as the spares of other domains, must not form them.

        Args:
            targets: Targets by share.
            views: The fabric domains.
        """
        missing = self._missing_groups(views)
        return {
            name: dataclasses.replace(
                target,
                base=max(
                    target.base
                    + self._corrections.get(name, 0)
                    - missing.get(name, 0),
                    min(self._needed_by_donor(name), target.base),
                    1,
                ),
            )
            for name, target in targets.items()
        }

    def _needed_by_donor(self, name: str) -> int:
        """Returns how many groups a former donor needs, 0 for others."""
        if self._corrections.get(name, 0) >= 0:
            return 0
        return self._needed.get(name, 0)

    def _domains_for_donors(self, views, profile, targets) -> frozenset:
        """Returns the domains that can form a group that a donor needs now.

        Their idle engines, and the loads that may start, are left to it.
        """
        max_loads = _pacing.max_load_starts(profile)
        has_leaving = any(_has_leaving(view) for view in views)
        found = set()
        for model in profile.models:
            needed = min(
                self._needed_by_donor(model.name), targets[model.name].base
            )
            groups = sum(_count_groups(view, model.name) for view in views)
            if groups >= needed:
                continue
            for view in views:
                idle = _plan.idle_engines(view)
                staged = sum(model.name in e.upstream.staged for e in idle)
                loads = max(model.members - staged, 0)
                if len(idle) >= model.members and (
                    not loads or (loads <= max_loads and not has_leaving)
                ):
                    found.add(view.domain)
        return frozenset(found)

    def _missing_groups(self, views) -> dict[str, int]:
        """Returns how many groups of each model moves have yet to form."""
        missing: dict[str, int] = {}
        for view in views:
            progress = self._moves.get(view.domain)
            if progress is not None:
                receiver = progress.move.receiver
                missing[receiver] = missing.get(
                    receiver, 0
                ) + progress.missing(view)
        return missing

    def remove_ended(self, views, profile) -> list[tuple[Move, bool]]:
        """Removes the moves that have ended.

        A move also ends if its domain has lost so many engines that the
        next group can't be formed, or if its receiver is not in the profile.

        Args:
            views: The fabric domains.
            profile: The engine profile.

        Returns:
            The moves, each with whether the receiver has got its groups.
        """
        now = self._clock.now()
        by_domain = {view.domain: view for view in views}
        ended = []
        for domain, progress in list(self._moves.items()):
            view = by_domain.get(domain)
            if view is None:
                is_done, missing = False, progress.move.gained
            else:
                is_done = progress.is_done(view)
                missing = progress.missing(view)
                if (
                    not is_done
                    and now <= progress.deadline
                    and _can_go_on(view, profile, progress)
                ):
                    continue
            del self._moves[domain]
            # Groups that the receiver had before count in its share.
            added = progress.move.corrections[progress.move.receiver]
            self._corrections[progress.move.receiver] -= min(missing, added)
            ended.append((progress.move, is_done))
        return ended

    def plan(
        self, views, profile, counts, demand, max_loads: int
    ) -> Move | None:
        """Returns the move to begin now, ``None`` if there is none.

        Args:
            views: The fabric domains.
            profile: The engine profile.
            counts: Current and target groups.
            demand: Measured demand, ``None`` while too little is measured.
            max_loads: Number of loads that may run at once.
        """
        if demand is not None:
            self._needed = {
                name: math.ceil(peak * DONOR_HEADROOM)
                for name, peak in demand.peak.items()
            }
        if demand is None or any(view.is_evacuated for view in views):
            # Groups of evacuated domains stand, but serve neither model.
            return None
        now = self._clock.now()
        missing = self._missing_groups(views)
        pending_loads = sum(
            count * profile.find_model(name).members
            for name, count in missing.items()
        )
        planned = {
            model.name: counts.current.get(model.name, 0)
            + missing.get(model.name, 0)
            for model in profile.models
        }
        pairs = [
            pair
            for pair in _unbalanced_pairs(
                profile,
                demand,
                planned,
                _count_open(views, profile),
                bool(self._moves),
            )
            if self._held_until.get(pair.donor.name, now) <= now
            or self._is_short_donor(pair)
        ]
        for pair in pairs:
            free = [view for view in views if view.domain not in self._moves]
            move = _choose_move(free, profile, counts, demand, pair)
            if move is None:
                continue
            loads = move.gained * pair.receiver.members
            if not pending_loads or pending_loads + loads <= max_loads:
                return move
        if not pairs and not self._moves:
            self._restore_donors(views, profile, counts)
        return None

    def _is_short_donor(self, pair) -> bool:
        """Returns whether a receiver lacks groups that it has given away."""
        return (
            self._corrections.get(pair.receiver.name, 0) < 0
            and pair.used > HOLD_UTILIZATION
        )

    def begin(self, move: Move, views, deadline: float) -> None:
        """Records the start of a move.

        Args:
            move: The move.
            views: The fabric domains.
            deadline: Monotonic seconds by which it should have ended.
        """
        for name, correction in move.corrections.items():
            self._corrections[name] = (
                self._corrections.get(name, 0) + correction
            )
        self._held_until[move.receiver] = self._clock.now() + DONOR_HOLD_S
        view = next(view for view in views if view.domain == move.domain)
        self._moves[move.domain] = _Progress(
            move,
            _count_groups(view, move.receiver) + move.gained,
            deadline,
        )

    def continue_moves(
        self, views, profile, targets, load_budget: int
    ) -> list:
        """Chooses the groups that moves form and the loads that they begin.

        Groups that a donor has lost but needs come first. Beside the members
        of the new groups spares load the receiver's model: one, or two if the
        domain has groups of no other model.

        Args:
            views: The fabric domains.
            profile: The engine profile.
            targets: Current targets by model.
            load_budget: Number of loads that may start now.
        """
        actions: list = []
        donor_domains = self._domains_for_donors(views, profile, targets)
        if donor_domains:
            load_budget = 0
        for view in views:
            progress = self._moves.get(view.domain)
            if progress is None or not progress.missing(view):
                continue
            if view.is_evacuated or view.domain in donor_domains:
                continue
            receiver = profile.find_model(progress.move.receiver)
            missing = progress.missing(view)
            idle = _plan.idle_engines(view)
            staged = [e for e in idle if receiver.name in e.upstream.staged]
            if len(staged) >= receiver.members:
                staged.sort(
                    key=lambda e: _plan.join_cost_key(e, receiver.name)
                )
                names = tuple(e.name for e in staged[: receiver.members])
                actions.append(_state.Form(receiver.name, names, 'rebalance'))
                continue
            has_others = any(
                record.model != receiver.name and record.closing_since is None
                for record in view.groups.values()
            )
            # Engines that have loaded the model leave before they are idle.
            loaded = sum(
                receiver.name in (view.loading.get(e.name), *e.upstream.staged)
                for e in _ungrouped_engines(view)
            )
            wanted = (
                missing * receiver.members
                + _plan.SPARES_PER_DOMAIN
                - has_others
                - loaded
            )
            if _has_leaving(view) or any(
                name in view.groups for name in progress.move.closing
            ):
                # The engines of the closing group load the model. Spares stay
                # available for repairs until it has closed.
                continue
            # Engines without weights are no spares of any model.
            unstaged = sorted(
                (e for e in idle if e not in staged),
                key=lambda e: bool(e.upstream.staged),
            )
            chosen = unstaged[: max(min(wanted, load_budget), 0)]
            load_budget -= len(chosen)
            actions += [_state.Warm(e.name, receiver.name) for e in chosen]
        return actions

    def _restore_donors(self, views, profile, counts) -> None:
        """Gives former donors the groups that idle engines can form.

        Such engines remain if a move has failed, or if engines with the
        weights of the donor return.
        """
        for model in profile.models:
            if (
                self._corrections.get(model.name, 0) < 0
                and not counts.is_below_base(model.name)
                and any(_formable_groups(view, model) for view in views)
            ):
                self._corrections[model.name] += 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Pair:
    """Two models whose utilisation differs.

    ``groups`` and ``used`` are the groups and the utilisation of the receiver.
    """

    donor: object
    receiver: object
    donor_groups: int
    groups: int
    used: float


def _unbalanced_pairs(
    profile,
    demand: _demand.Demand,
    planned: dict,
    serving: dict,
    has_moves: bool,
) -> list[_Pair]:
    """Returns the pairs of models between which a move may pay.

    Args:
        profile: The engine profile.
        demand: Measured demand.
        planned: Groups by model, with those being formed or moved.
        serving: Open groups by model.
        has_moves: Whether moves are in progress.

    Returns:
        Pairs, the ones with the most used receiver and the least used donor
        first.
    """
    found = []
    for receiver in profile.models:
        groups = planned.get(receiver.name, 0)
        used = demand.mean.get(receiver.name, 0.0) / max(groups, 1)
        if used < MIN_UTILIZATION:
            continue
        for donor in profile.models:
            donor_groups = serving.get(donor.name, 0)
            donor_used = demand.mean.get(donor.name, 0.0) / max(
                donor_groups, 1
            )
            min_ratio = _min_ratio(demand, donor, receiver, has_moves)
            if donor is not receiver and used >= min_ratio * donor_used:
                pair = _Pair(donor, receiver, donor_groups, groups, used)
                found.append((-used, donor_used, len(found), pair))
    return [pair for _used, _donor_used, _index, pair in sorted(found)]


def _is_settled(demand: _demand.Demand, *models) -> bool:
    """Returns whether a period of the swing of models has been measured."""
    return all(
        demand.measured_s.get(model.name, 0.0) >= _demand.HISTORY_S
        for model in models
    )


def _min_ratio(demand: _demand.Demand, donor, receiver, has_moves) -> float:
    """Returns the ratio of utilisations from which a move may pay."""
    if _is_settled(demand, donor, receiver):
        return MIN_IMBALANCE_RATIO
    return EARLY_FURTHER_RATIO if has_moves else EARLY_IMBALANCE_RATIO


def _headroom(demand: _demand.Demand, donor) -> float:
    """Returns how many times its measured peak a donor must keep."""
    if _is_settled(demand, donor):
        return DONOR_HEADROOM
    return EARLY_DONOR_HEADROOM


def _choose_move(views, profile, counts, demand, pair) -> Move | None:
    """Returns the best allowed move of a pair of models.

    Prefers to close few groups, then a large gain, then a domain with many
    idle engines and few groups of the receiver.
    """
    best = None
    for view in views:
        if not _is_quiet(view):
            continue
        found = _move_in_domain(view, profile, counts, pair)
        if found is None or not _is_allowed(found, counts, demand, pair):
            continue
        key = (
            len(found.closing),
            -found.gained,
            # Engines that die while the others load need a replacement.
            -len(_plan.idle_engines(view)),
            _count_groups(view, pair.receiver.name),
            view.domain,
        )
        if best is None or key < best[0]:
            best = (key, found)
    return best[1] if best is not None else None


def _is_quiet(view) -> bool:
    """Returns whether no engine of a domain is leaving or joining a group."""
    return (
        bool(view.domain)
        and not _has_leaving(view)
        and all(
            record.opened and record.closing_since is None
            for record in view.groups.values()
        )
    )


def _has_leaving(view) -> bool:
    return bool((view.busy & view.engines.keys()) - view.loading.keys())


def _move_in_domain(view, profile, counts, pair) -> Move | None:
    """Returns the move that closes the fewest groups of a domain."""
    donor, receiver = pair.donor, pair.receiver
    free = len(_plan.idle_engines(view)) + len(view.loading)
    free -= _plan.SPARES_PER_DOMAIN
    closing = max(math.ceil((receiver.members - free) / donor.members), 0)
    names = sorted(
        record.name
        for record in view.groups.values()
        if record.model == donor.name
    )
    if closing > len(names):
        return None
    if not closing and any(
        counts.is_below_base(model.name)
        for model in profile.models
        if model is not donor
        and model.members <= _pacing.max_load_starts(profile)
    ):
        return None  # the idle engines form a group of that model anyway
    gained = (free + closing * donor.members) // receiver.members
    # Groups that the donor has lost are not formed anew.
    given = closing + max(counts.missing_base_groups(donor.name), 0)
    if not closing:
        # Groups above the base target stay, too.
        surplus = gained - counts.missing_base_groups(receiver.name)
    return Move(
        view.domain,
        donor.name,
        receiver.name,
        tuple(names[:closing]),
        gained,
        {
            donor.name: -given,
            receiver.name: gained if closing else max(surplus, 0),
        },
    )


def _is_allowed(move, counts, demand, pair) -> bool:
    """Returns whether the donor can spare what a move takes from it."""
    name = pair.donor.name
    if not move.closing and not counts.is_below_base(name):
        return True  # the engines are not needed by the donor
    if demand.measured_s.get(name, 0.0) < _demand.MIN_SPAN_S:
        return False  # its requests may have yet to begin
    left = pair.donor_groups - len(move.closing)
    if left < 1 or (
        demand.peak.get(name, 0.0) * _headroom(demand, pair.donor) > left
    ):
        return False
    return demand.mean.get(name, 0.0) / left <= demand.mean[
        pair.receiver.name
    ] / (pair.groups + move.gained)


def move_timeout_s(max_load_s: float) -> float:
    """Returns how long a move may take, in seconds.

    Args:
        max_load_s: Longest time of one load of the receiver's model.
    """
    return _repair.CLOSE_TIMEOUT_S + max_load_s + MOVE_MARGIN_S


def _implied_corrections(profile, targets, existing) -> dict[str, int]:
    """Returns the corrections of the targets that existing groups imply."""
    gained = {
        model.name: max(existing[model.name] - targets[model.name].base, 0)
        for model in profile.models
    }
    engines = sum(
        gained[model.name] * model.members for model in profile.models
    )
    corrections = {}
    released = 0
    for model in profile.models:
        missing = max(targets[model.name].base - existing[model.name], 0)
        given = min(missing, math.ceil((engines - released) / model.members))
        if given > 0:
            corrections[model.name] = -given
            released += given * model.members
    for model in profile.models:
        kept = min(gained[model.name], released // model.members)
        if kept:
            corrections[model.name] = kept
            released -= kept * model.members
    return corrections


def _count_groups(view, model: str, only_open: bool = False) -> int:
    """Returns how many groups of a model a domain has, without closing ones.

    With ``only_open`` groups that are being formed are left out.
    """
    return sum(
        record.model == model
        and record.closing_since is None
        and (record.opened or not only_open)
        for record in view.groups.values()
    )


def _count_open(views, profile) -> dict[str, int]:
    return {
        model.name: sum(
            _count_groups(view, model.name, only_open=True) for view in views
        )
        for model in profile.models
    }


def _ungrouped_engines(view) -> list:
    """Returns the usable engines of a domain that are in no group."""
    grouped = {
        name for record in view.groups.values() for name in record.members
    }
    return [
        engine
        for name, engine in view.engines.items()
        if engine.is_usable and name not in grouped
    ]


def _can_go_on(view, profile, progress) -> bool:
    """Returns whether a move has the engines for its next group."""
    receiver = profile.find_model(progress.move.receiver)
    return receiver is not None and (
        not progress.missing(view)
        or any(name in view.groups for name in progress.move.closing)
        or len(_ungrouped_engines(view)) >= receiver.members
    )


def _formable_groups(view, model) -> int:
    """Returns how many groups idle and loading engines can form.

    The spares of the domain are left, one of them with the model's weights.
    """
    idle = _plan.idle_engines(view)
    staged = sum(model.name in engine.upstream.staged for engine in idle)
    staged += sum(name == model.name for name in view.loading.values())
    free = len(idle) + len(view.loading) - _plan.SPARES_PER_DOMAIN
    return max(min(staged - 1, free), 0) // model.members
