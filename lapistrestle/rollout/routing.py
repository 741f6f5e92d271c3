"""What one edge makes of the planner's shares: the version of each RPC, what is barred, and running counts.
No I/O."""

from dataclasses import dataclass, field, replace

from lapistrestle.rollout.evidence import Tally
from lapistrestle.rollout.lease import Lease
from lapistrestle.rollout.versions import Course, Met, Split, course

MINUTE = 600_000  # tenths of a millisecond
KEPT = 3  # minutes whose counts are told again, in case they were lost
PATIENCE = 20_000  # tenths of a millisecond in which an edge that knows no plan waits for its first
REMEMBERED = 50_000  # tokened RPCs, twice; of one that is forgotten it is not known which version it met


def named(function: str, version: str) -> str:
    """A version is a function of its own to the module and to runners."""
    return f"{function}@{version}" if version else function


@dataclass(frozen=True)
class Route:
    """Where an RPC goes. `name` empty: it is aborted, as it may have run on what is withdrawn."""

    name: str
    function: str = ""
    candidate: str = ""  # of the rollout that it counts for, if any
    step: int = -1
    new: bool = False  # it goes to the candidate


@dataclass
class Routing:
    """The shares as this edge holds them."""

    epoch: int = -1
    number: int = -1
    splits: dict[str, Split] = field(default_factory=dict)
    lease: Lease = field(default_factory=Lease)
    barred_names: set[str] = field(default_factory=set)
    counts: dict[tuple[str, str, int, int], Tally] = field(default_factory=dict)
    met: dict[tuple[str, str], str] = field(default_factory=dict)  # function and key: the version
    met_before: dict[tuple[str, str], str] = field(default_factory=dict)

    def told(self, epoch: int, number: int, whole: bool, splits: list[Split]) -> list[str] | None:
        """A plan came; names that it bars anew, or None if an older planner sent it or it is out of order."""
        if epoch < self.epoch or (epoch == self.epoch and number < self.number):
            return None
        if epoch > self.epoch and not whole:
            return None
        if whole:
            self.splits.clear()
        self.epoch, self.number = epoch, number
        self.splits |= {split.function: split for split in splits}
        before, held = self.barred_names, self.splits.values()
        gone = {named(s.function, s.candidate) for s in held if s.candidate and s.withdrawn}
        used = {named(s.function, s.settled) for s in held}
        used |= {named(s.function, s.candidate) for s in held if s.candidate and not s.withdrawn}
        # what was withdrawn stays barred when the planner forgets it: the module may still hold copies of it
        self.barred_names = (before | gone) - used
        return sorted(self.barred_names - before)

    def recall(self, epoch: int, number: int, splits: list[Split], barred: list[str]) -> None:
        """Go on from a plan that was kept over a restart. There is no lease on it, so its unsettled shares
        are not used; what it bars stays barred, and no older planner is heeded."""
        self.told(epoch, number, True, splits)
        self.barred_names |= set(barred)

    def unplanned(self, age: int) -> bool:
        """Whether it is too early to say what version runs: an edge that just started would send to the one
        before all rollouts. After that it serves: better than nothing, if the planner stays away."""
        return self.number < 0 and age < PATIENCE

    def route(
        self, function: str, key: str, kind: str, repeat: bool, now: int, tokens_span: bool = False
    ) -> Route:
        split = self.splits.get(function)
        if split is None:
            return Route(function)
        if not split.candidate:
            return Route(named(function, split.settled))
        usable = split.done or self.lease.usable(now)
        # without a lease a newer plan may have let any key meet the candidate at another edge
        held = split if usable else replace(split, share=0.0, peak=1.0)
        tokened = kind == "tokened"
        met = self.met_by(split, key) if tokened and repeat else Met.UNKNOWN
        match course(held, key, kind, repeat, tokens_span, met):
            case Course.ABORT:
                return Route("")
            case Course.CANDIDATE:
                version, new = split.candidate, True
            case Course.SETTLED:
                version, new = split.settled, False
        if tokened:
            self.remember(function, key, version)
        counts = usable and not split.withdrawn and not split.done
        return Route(named(function, version), function, split.candidate if counts else "", split.step, new)

    def remember(self, function: str, key: str, version: str) -> None:
        """Where this tokened RPC is sent, for when its client comes back."""
        if len(self.met) >= REMEMBERED:
            self.met_before, self.met = self.met, {}
        self.met[function, key] = version

    def met_by(self, split: Split, key: str) -> Met:
        version = self.met.get((split.function, key), self.met_before.get((split.function, key)))
        known = {split.settled: Met.SETTLED, split.candidate: Met.CANDIDATE}
        return known.get(version, Met.UNKNOWN) if version is not None else Met.UNKNOWN

    def barred(self, name: str, now: int) -> bool:
        """Whether nothing new may go to this version now: withdrawn, or unsettled and without a lease."""
        if name in self.barred_names:
            return True
        function, _, version = name.rpartition("@")
        split = self.splits.get(function)
        if split is None or not version or split.candidate != version or split.done:
            return False
        return not self.lease.usable(now)

    def moved(self, name: str, key: str) -> Route:
        """Where an RPC of a barred version goes instead, and is remembered to have gone."""
        function = name.rpartition("@")[0]
        split = self.splits.get(function)
        if split is None:
            return Route(function)  # as where no plan names it
        self.remember(function, key, split.settled)
        return Route(named(function, split.settled))

    def note(self, route: Route, bad: bool, now: int) -> None:
        """An RPC of this route has ended."""
        if not route.candidate:
            return
        key = (route.function, route.candidate, route.step, now // MINUTE)
        one = (0, 0, 1, int(bad)) if route.new else (1, int(bad), 0, 0)
        self.counts[key] = Tally(*(a + b for a, b in zip(self.counts.get(key, Tally()), one, strict=True)))

    def tell(self, now: int) -> list[tuple[str, str, int, int, Tally]]:
        """Running counts of the last minutes; older ones are dropped."""
        self.counts = {key: t for key, t in self.counts.items() if key[3] > now // MINUTE - KEPT}
        return [(*key, tally) for key, tally in self.counts.items()]
