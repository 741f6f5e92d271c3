"""What one edge makes of the planner's shares: the version of each RPC, what is barred, and running counts.
No I/O."""

from dataclasses import dataclass, field, replace

from lapistrestle.rollout.evidence import Tally
from lapistrestle.rollout.lease import Lease
from lapistrestle.rollout.versions import Course, Split, course

MINUTE = 600_000  # tenths of a millisecond
KEPT = 3  # minutes whose counts are told again, in case they were lost


def named(fn: str, version: str) -> str:
    """A version is a function of its own to the module and to runners."""
    return f"{fn}@{version}" if version else fn


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
    splits: dict[str, Split] = field(default_factory=dict)
    lease: Lease = field(default_factory=Lease)
    barred_names: set[str] = field(default_factory=set)
    counts: dict[tuple[str, str, int, int], Tally] = field(default_factory=dict)

    def told(self, epoch: int, number: int, whole: bool, splits: list[Split]) -> list[str] | None:
        """A plan came; names that it bars anew, or None if an older planner sent it or it is out of order.
        """
        if epoch < self.epoch or (epoch == self.epoch and number < self.number):
            return None
        if epoch > self.epoch and not whole:
            return None
        if whole:
            self.splits.clear()
        self.epoch, self.number = epoch, number
        self.splits |= {split.fn: split for split in splits}
        before = self.barred_names
        self.barred_names = {
            named(s.fn, s.candidate) for s in self.splits.values() if s.candidate and s.withdrawn
        }
        return sorted(self.barred_names - before)

    def route(self, fn: str, key: str, kind: str, repeat: bool, now: int) -> Route:
        split = self.splits.get(fn)
        if split is None:
            return Route(fn)
        if not split.candidate:
            return Route(named(fn, split.settled))
        usable = self.lease.usable(now)
        held = split if usable else replace(split, share=0.0)
        match course(held, key, kind, repeat, tokens_span=False):
            case Course.ABORT:
                return Route("")
            case Course.CANDIDATE:
                return Route(named(fn, split.candidate), fn, split.candidate, split.step, True)
        counts = usable and not split.withdrawn
        return Route(named(fn, split.settled), fn, split.candidate if counts else "", split.step)

    def barred(self, name: str, now: int) -> bool:
        """Whether nothing new may go to this version now: withdrawn, or unsettled and without a lease."""
        if name in self.barred_names:
            return True
        fn, _, version = name.rpartition("@")
        split = self.splits.get(fn)
        return bool(split and version and split.candidate == version and not self.lease.usable(now))

    def settled_name(self, name: str) -> str:
        """Where RPCs of a barred version go instead."""
        fn = name.rpartition("@")[0]
        return named(fn, self.splits[fn].settled) if fn in self.splits else name

    def note(self, route: Route, bad: bool, now: int) -> None:
        """An RPC of this route has ended."""
        if not route.candidate:
            return
        key = (route.fn, route.candidate, route.step, now // MINUTE)
        one = (0, 0, 1, int(bad)) if route.new else (1, int(bad), 0, 0)
        self.counts[key] = Tally(*(a + b for a, b in zip(self.counts.get(key, Tally()), one, strict=True)))

    def tell(self, now: int) -> list[tuple[str, str, int, int, Tally]]:
        """Running counts of the last minutes; older ones are dropped."""
        self.counts = {key: t for key, t in self.counts.items() if key[3] > now // MINUTE - KEPT}
        return [(*key, tally) for key, tally in self.counts.items()]
