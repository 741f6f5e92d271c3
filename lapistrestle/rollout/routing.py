"""What one edge makes of the planner's splits: each request's version, what is barred, and running counts.

No I/O. Times are ticks of 0.1 ms on the edge's own clock.
"""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from lapistrestle.rollout.evidence import OutcomeCounts
from lapistrestle.rollout.lease import Lease
from lapistrestle.rollout.version_choice import EarlierVersion, VersionChoice, choose_version
from lapistrestle.rollout_types import TrafficSplit, versioned_name

TICKS_PER_MINUTE = 600_000

REPORTED_MINUTES = 3
"""Minutes whose counts are reported again, in case they were lost."""

FIRST_PLAN_TIMEOUT = 20_000
"""Ticks for which an edge that knows no plan waits for its first."""

MAX_REMEMBERED = 50_000
"""Tokened requests remembered, twice; of one that is forgotten it is not known which version it met."""

NO_PLAN = -1
"""Epoch and number before the first plan."""


@dataclass(frozen=True)
class Route:
    """Where a request goes.

    `name` is the versioned function; empty: the request is aborted, as it may have run on what is withdrawn.
    `candidate` and `step` are of the rollout that it counts for, if any; `to_candidate` says for which of
    the two versions.
    """

    name: str
    function: str = ""
    candidate: str = ""
    step: int = -1
    to_candidate: bool = False


class CountsKey(NamedTuple):
    """What running counts are of."""

    function: str
    candidate: str
    step: int
    minute: int


class SentKey(NamedTuple):
    """A tokened request: its function, and what stays the same over its client's attempts."""

    function: str
    key: str


@dataclass
class Routing:
    """The splits as this edge holds them, of the plan `number` of planner `epoch`.

    `barred_names` are versions that were withdrawn: they stay barred when the planner forgets them, since
    workers may still have replicas of them, until a plan names them again. `sent_versions` and, filled
    before, `older_sent_versions` say where tokened requests went.
    """

    epoch: int = NO_PLAN
    number: int = NO_PLAN
    splits: dict[str, TrafficSplit] = field(default_factory=dict)
    lease: Lease = field(default_factory=Lease)
    barred_names: set[str] = field(default_factory=set)
    counts: dict[CountsKey, OutcomeCounts] = field(default_factory=dict)
    sent_versions: dict[SentKey, str] = field(default_factory=dict)
    older_sent_versions: dict[SentKey, str] = field(default_factory=dict)

    def apply_plan(
        self, epoch: int, number: int, complete: bool, splits: list[TrafficSplit]
    ) -> list[str] | None:
        """Take a plan: changes, or the `complete` one. Return the names that it bars anew.

        None where it is passed over: an older planner sent it, or it is out of order.
        """
        if epoch < self.epoch or (epoch == self.epoch and number < self.number):
            return None
        if epoch > self.epoch and not complete:
            return None
        if complete:
            self.splits.clear()
        self.epoch = epoch
        self.number = number
        self.splits |= {split.function: split for split in splits}
        barred_before = self.barred_names
        withdrawn, in_use = self._names_by_use()
        self.barred_names = (barred_before | withdrawn) - in_use
        return sorted(self.barred_names - barred_before)

    def restore_plan(self, epoch: int, number: int, splits: list[TrafficSplit], barred: list[str]) -> None:
        """Go on from a plan that was persisted over a restart.

        There is no lease on it, so its unsettled weights are not used; what it bars stays barred, and no
        older planner is heeded.
        """
        self.apply_plan(epoch, number, True, splits)
        self.barred_names |= set(barred)

    def awaits_first_plan(self, age: int) -> bool:
        """Return whether it is too early, `age` ticks after the edge's start, to say what version runs.

        An edge that just started would send to the version before all rollouts. After FIRST_PLAN_TIMEOUT it
        serves: better than nothing, if the planner stays away.
        """
        return self.number < 0 and age < FIRST_PLAN_TIMEOUT

    def route(
        self, function: str, key: str, kind: str, repeat: bool, now: int, tokens_span: bool = False
    ) -> Route:
        """Return where a request goes; the arguments are those of `choose_version`."""
        split = self.splits.get(function)
        if split is None:
            return Route(function)
        if not split.candidate:
            return Route(versioned_name(function, split.settled))
        usable = split.promoted or self.lease.is_usable(now)
        # without a lease a newer plan may have let any key meet the candidate at another edge
        effective = split if usable else replace(split, weight=0.0, peak_weight=1.0)
        tokened = kind == "tokened"
        earlier = self.earlier_version(split, key) if tokened and repeat else EarlierVersion.UNKNOWN
        choice = choose_version(effective, key, kind, repeat, tokens_span, earlier)
        if choice is VersionChoice.ABORT:
            return Route("")
        to_candidate = choice is VersionChoice.CANDIDATE
        version = split.candidate if to_candidate else split.settled
        if tokened:
            self.remember_version(function, key, version)
        is_evidence = usable and not split.withdrawn and not split.promoted
        counted_for = split.candidate if is_evidence else ""
        return Route(versioned_name(function, version), function, counted_for, split.step, to_candidate)

    def remember_version(self, function: str, key: str, version: str) -> None:
        """Remember where a tokened request is sent, for when its client comes back."""
        if len(self.sent_versions) >= MAX_REMEMBERED:
            self.older_sent_versions = self.sent_versions
            self.sent_versions = {}
        self.sent_versions[SentKey(function, key)] = version

    def earlier_version(self, split: TrafficSplit, key: str) -> EarlierVersion:
        """Return where this edge sent earlier attempts of a tokened request."""
        sent = SentKey(split.function, key)
        version = self.sent_versions.get(sent, self.older_sent_versions.get(sent))
        if version is None:
            return EarlierVersion.UNKNOWN
        known = {split.settled: EarlierVersion.SETTLED, split.candidate: EarlierVersion.CANDIDATE}
        return known.get(version, EarlierVersion.UNKNOWN)

    def is_barred(self, name: str, now: int) -> bool:
        """Return whether nothing new may go to this version now: withdrawn, or unsettled without a lease."""
        if name in self.barred_names:
            return True
        function, _, version = name.rpartition("@")
        split = self.splits.get(function)
        if split is None or not version or split.candidate != version or split.promoted:
            return False
        return not self.lease.is_usable(now)

    def reroute(self, name: str, key: str) -> Route:
        """Return where a request of a barred version goes instead, and remember it."""
        function = name.rpartition("@")[0]
        split = self.splits.get(function)
        if split is None:
            return Route(function)  # as where no plan names it
        self.remember_version(function, key, split.settled)
        return Route(versioned_name(function, split.settled))

    def count_outcome(self, route: Route, bad: bool, now: int) -> None:
        """Count a request of this route that has ended."""
        if not route.candidate:
            return
        key = CountsKey(route.function, route.candidate, route.step, now // TICKS_PER_MINUTE)
        if route.to_candidate:
            outcome = OutcomeCounts(candidate=1, candidate_bad=int(bad))
        else:
            outcome = OutcomeCounts(settled=1, settled_bad=int(bad))
        self.counts[key] = self.counts.get(key, OutcomeCounts()).plus(outcome)

    def recent_counts(self, now: int) -> dict[CountsKey, OutcomeCounts]:
        """Return the running counts of the last REPORTED_MINUTES; older ones are dropped."""
        oldest = now // TICKS_PER_MINUTE - REPORTED_MINUTES
        self.counts = {key: counts for key, counts in self.counts.items() if key.minute > oldest}
        return dict(self.counts)

    def _names_by_use(self) -> tuple[set[str], set[str]]:
        """Return the versioned names that the splits withdraw, and those that they use."""
        withdrawn: set[str] = set()
        in_use: set[str] = set()
        for split in self.splits.values():
            in_use.add(versioned_name(split.function, split.settled))
            if split.candidate:
                names = withdrawn if split.withdrawn else in_use
                names.add(versioned_name(split.function, split.candidate))
        return withdrawn, in_use
