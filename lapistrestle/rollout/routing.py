"""Routing of requests to versions at one edge, by the planner's splits, with the counts of their outcomes.

Free of I/O. Times are ticks of 0.1 ms on the edge's own clock.
"""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from lapistrestle.rollout.evidence import OutcomeCounts
from lapistrestle.rollout.lease import Lease
from lapistrestle.rollout.version_choice import EarlierVersion, VersionChoice, choose_version
from lapistrestle.rollout_types import TrafficSplit, versioned_name

TICKS_PER_MINUTE = 600_000

REPORTED_MINUTES = 3
"""Number of recent minutes whose counts are sent with each report, in case reports were lost."""

FIRST_PLAN_TIMEOUT = 20_000
"""Ticks for which an edge without a plan waits for its first one."""

MAX_REMEMBERED = 50_000
"""Tokened requests in each of two cache generations; the version of a dropped request is unknown."""

NO_PLAN = -1
"""Epoch and number before the first plan."""


@dataclass(frozen=True)
class Route:
    """The version to which a request is sent.

    `name` is the versioned function; if empty, the request is aborted, as it may have run on a version that
    is withdrawn. `candidate` and `step` identify the rollout for which its outcome counts, if any;
    `to_candidate` says for which of the two versions.
    """

    name: str
    function: str = ""
    candidate: str = ""
    step: int = -1
    to_candidate: bool = False


class CountsKey(NamedTuple):
    """The step of a rollout, and the minute, of cumulative counts."""

    function: str
    candidate: str
    step: int
    minute: int


class SentKey(NamedTuple):
    """A tokened request: its function, and the key that is the same for all attempts (`attempt_key`)."""

    function: str
    key: str


@dataclass
class Routing:
    """The state of an edge's routing: the splits of the plan `number` of planner `epoch`, lease and counts.

    `barred_names` are withdrawn versions. They stay barred after the planner drops them, as workers may still
    have replicas of them, until a plan uses them again. `sent_versions`, and the previous generation
    `older_sent_versions`, cache the versions to which tokened requests were sent.
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
        """Apply a plan, incremental or `complete`. Return the names that it newly bars.

        Return None if it is ignored because it comes from an older planner or is out of order.
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
        """Restore a plan that was persisted before a restart.

        Without a lease its unsettled weights are not used. Its barred names stay barred, and plans of older
        planners are ignored.
        """
        self.apply_plan(epoch, number, True, splits)
        self.barred_names |= set(barred)

    def awaits_first_plan(self, age: int) -> bool:
        """Return whether requests must wait for the first plan, `age` ticks after the edge's start.

        Without a plan an edge would use the versions before all rollouts. After FIRST_PLAN_TIMEOUT it does
        so, as serving these is better than serving nothing while the planner is unreachable.
        """
        return self.number < 0 and age < FIRST_PLAN_TIMEOUT

    def route(
        self, function: str, key: str, kind: str, repeat: bool, now: int, tokens_span: bool = False
    ) -> Route:
        """Return the route of a request; the arguments are those of `choose_version`."""
        split = self.splits.get(function)
        if split is None:
            return Route(function)
        if not split.candidate:
            return Route(versioned_name(function, split.settled))
        usable = split.promoted or self.lease.is_usable(now)
        # without a lease, another edge with a newer plan may have sent any key to the candidate
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
        """Cache the version to which a tokened request is sent, for retries by its client."""
        if len(self.sent_versions) >= MAX_REMEMBERED:
            self.older_sent_versions = self.sent_versions
            self.sent_versions = {}
        self.sent_versions[SentKey(function, key)] = version

    def earlier_version(self, split: TrafficSplit, key: str) -> EarlierVersion:
        """Return the version to which this edge sent earlier attempts of a tokened request."""
        sent = SentKey(split.function, key)
        version = self.sent_versions.get(sent, self.older_sent_versions.get(sent))
        if version is None:
            return EarlierVersion.UNKNOWN
        known = {split.settled: EarlierVersion.SETTLED, split.candidate: EarlierVersion.CANDIDATE}
        return known.get(version, EarlierVersion.UNKNOWN)

    def is_barred(self, name: str, now: int) -> bool:
        """Return whether this version gets no new requests: it is withdrawn, or unsettled without a lease."""
        if name in self.barred_names:
            return True
        function, _, version = name.rpartition("@")
        split = self.splits.get(function)
        if split is None or not version or split.candidate != version or split.promoted:
            return False
        return not self.lease.is_usable(now)

    def reroute(self, name: str, key: str) -> Route:
        """Return and cache the route of a request whose version was barred: the settled version."""
        function = name.rpartition("@")[0]
        split = self.splits.get(function)
        if split is None:
            return Route(function)  # no plan names the function
        self.remember_version(function, key, split.settled)
        return Route(versioned_name(function, split.settled))

    def count_outcome(self, route: Route, bad: bool, now: int) -> None:
        """Count a finished request of this route."""
        if not route.candidate:
            return
        key = CountsKey(route.function, route.candidate, route.step, now // TICKS_PER_MINUTE)
        if route.to_candidate:
            outcome = OutcomeCounts(candidate=1, candidate_bad=int(bad))
        else:
            outcome = OutcomeCounts(settled=1, settled_bad=int(bad))
        self.counts[key] = self.counts.get(key, OutcomeCounts()).plus(outcome)

    def recent_counts(self, now: int) -> dict[CountsKey, OutcomeCounts]:
        """Return the cumulative counts of the last REPORTED_MINUTES and drop older ones."""
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
