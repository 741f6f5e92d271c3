"""What one edge makes of the planner's shares: the version of each RPC, what is barred, and running counts.
No I/O."""

from dataclasses import dataclass, field, replace

from lapistrestle.rollout.evidence import OutcomeCounts
from lapistrestle.rollout.lease import Lease
from lapistrestle.rollout.version_choice import EarlierVersion, VersionChoice, choose_version
from lapistrestle.rollout_types import TrafficSplit, versioned_name

MINUTE = 600_000  # tenths of a millisecond
KEPT = 3  # minutes whose counts are told again, in case they were lost
FIRST_PLAN_TIMEOUT = 20_000  # tenths of a millisecond in which an edge that knows no plan waits for its first
MAX_REMEMBERED = 50_000  # tokened RPCs, twice; of one that is forgotten it is not known which version it met


@dataclass(frozen=True)
class Route:
    """Where an RPC goes. `name` empty: it is aborted, as it may have run on what is withdrawn."""

    name: str
    fn: str = ""
    candidate: str = ""  # of the rollout that it counts for, if any
    step: int = -1
    new: bool = False  # it goes to the candidate


@dataclass
class Routing:
    """The shares as this edge holds them."""

    epoch: int = -1
    number: int = -1
    splits: dict[str, TrafficSplit] = field(default_factory=dict)
    lease: Lease = field(default_factory=Lease)
    barred_names: set[str] = field(default_factory=set)
    counts: dict[tuple[str, str, int, int], OutcomeCounts] = field(default_factory=dict)
    sent_versions: dict[tuple[str, str], str] = field(default_factory=dict)  # function and key: the version
    earlier_sent_versions: dict[tuple[str, str], str] = field(default_factory=dict)

    def apply_plan(
        self, epoch: int, number: int, whole: bool, splits: list[TrafficSplit]
    ) -> list[str] | None:
        """A plan came; names that it bars anew, or None if an older planner sent it or it is out of order."""
        if epoch < self.epoch or (epoch == self.epoch and number < self.number):
            return None
        if epoch > self.epoch and not whole:
            return None
        if whole:
            self.splits.clear()
        self.epoch, self.number = epoch, number
        self.splits |= {split.fn: split for split in splits}
        before, held = self.barred_names, self.splits.values()
        gone = {versioned_name(s.fn, s.candidate) for s in held if s.candidate and s.withdrawn}
        used = {versioned_name(s.fn, s.settled) for s in held}
        used |= {versioned_name(s.fn, s.candidate) for s in held if s.candidate and not s.withdrawn}
        # what was withdrawn stays barred when the planner forgets it: the module may still hold copies of it
        self.barred_names = (before | gone) - used
        return sorted(self.barred_names - before)

    def restore_plan(self, epoch: int, number: int, splits: list[TrafficSplit], barred: list[str]) -> None:
        """Go on from a plan that was kept over a restart. There is no lease on it, so its unsettled shares
        are not used; what it bars stays barred, and no older planner is heeded."""
        self.apply_plan(epoch, number, True, splits)
        self.barred_names |= set(barred)

    def awaits_first_plan(self, age: int) -> bool:
        """Whether it is too early to say what version runs: an edge that just started would send to the one
        before all rollouts. After that it serves: better than nothing, if the planner stays away."""
        return self.number < 0 and age < FIRST_PLAN_TIMEOUT

    def route(self, fn: str, key: str, kind: str, repeat: bool, now: int, tokens_span: bool = False) -> Route:
        split = self.splits.get(fn)
        if split is None:
            return Route(fn)
        if not split.candidate:
            return Route(versioned_name(fn, split.settled))
        usable = split.promoted or self.lease.is_usable(now)
        # without a lease a newer plan may have let any key meet the candidate at another edge
        held = split if usable else replace(split, weight=0.0, peak_weight=1.0)
        tokened = kind == "tokened"
        met = self.earlier_version(split, key) if tokened and repeat else EarlierVersion.UNKNOWN
        match choose_version(held, key, kind, repeat, tokens_span, met):
            case VersionChoice.ABORT:
                return Route("")
            case VersionChoice.CANDIDATE:
                version, new = split.candidate, True
            case VersionChoice.SETTLED:
                version, new = split.settled, False
        if tokened:
            self.remember_version(fn, key, version)
        counts = usable and not split.withdrawn and not split.promoted
        return Route(versioned_name(fn, version), fn, split.candidate if counts else "", split.step, new)

    def remember_version(self, fn: str, key: str, version: str) -> None:
        """Where this tokened RPC is sent, for when its client comes back."""
        if len(self.sent_versions) >= MAX_REMEMBERED:
            self.earlier_sent_versions, self.sent_versions = self.sent_versions, {}
        self.sent_versions[fn, key] = version

    def earlier_version(self, split: TrafficSplit, key: str) -> EarlierVersion:
        version = self.sent_versions.get((split.fn, key), self.earlier_sent_versions.get((split.fn, key)))
        known = {split.settled: EarlierVersion.SETTLED, split.candidate: EarlierVersion.CANDIDATE}
        return known.get(version, EarlierVersion.UNKNOWN) if version is not None else EarlierVersion.UNKNOWN

    def is_barred(self, name: str, now: int) -> bool:
        """Whether nothing new may go to this version now: withdrawn, or unsettled and without a lease."""
        if name in self.barred_names:
            return True
        fn, _, version = name.rpartition("@")
        split = self.splits.get(fn)
        if split is None or not version or split.candidate != version or split.promoted:
            return False
        return not self.lease.is_usable(now)

    def reroute(self, name: str, key: str) -> Route:
        """Where an RPC of a barred version goes instead, and is remembered to have gone."""
        fn = name.rpartition("@")[0]
        split = self.splits.get(fn)
        if split is None:
            return Route(fn)  # as where no plan names it
        self.remember_version(fn, key, split.settled)
        return Route(versioned_name(fn, split.settled))

    def count_outcome(self, route: Route, bad: bool, now: int) -> None:
        """An RPC of this route has ended."""
        if not route.candidate:
            return
        key = (route.fn, route.candidate, route.step, now // MINUTE)
        one = (0, 0, 1, int(bad)) if route.new else (1, int(bad), 0, 0)
        self.counts[key] = OutcomeCounts(
            *(a + b for a, b in zip(self.counts.get(key, OutcomeCounts()), one, strict=True))
        )

    def recent_counts(self, now: int) -> list[tuple[str, str, int, int, OutcomeCounts]]:
        """Running counts of the last minutes; older ones are dropped."""
        self.counts = {key: t for key, t in self.counts.items() if key[3] > now // MINUTE - KEPT}
        return [(*key, tally) for key, tally in self.counts.items()]
