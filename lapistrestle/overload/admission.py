"""The admission controller of one dispatcher in a fleet: what it counts, lets in, and asks to retry later.

Free of I/O: counts and figures in, a verdict out. The level in force is the fleet's, one's own, or none, as
far as the figures can be relied on (`fallback`). Both levels are worked out all the time, so that a change
between them begins from what is true and not from nothing.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf
from typing import Any
from zlib import crc32

from lapistrestle.fleet.digests import Digests, DigestSettings, Figures
from lapistrestle.overload.fallback import NAMES, Basis, Fallback
from lapistrestle.overload.priorities import Level, PriorityLevels, hash_fraction
from lapistrestle.overload.retry_after import RetryCalendar
from lapistrestle.overload.retry_budget import further_attempt_rate
from lapistrestle.overload.shedding import Shedding, Traffic
from lapistrestle.overload.unused import UnusedRoom
from lapistrestle.policy.settings import Settings

SECOND = 10_000  # in tenths of a millisecond
UPDATE_EVERY = SECOND // 2  # between two readings of the figures, which are sent no sooner
MIN_RETRY_AFTER = SECOND // 2  # no sooner: the figures could not show what came of it
CUSTOMERS = 24  # counted by name; further ones are never beyond a share


@dataclass(frozen=True)
class AdmissionSettings:
    """What admission goes by, of a deployment. Spans are whole tenths of a millisecond."""

    gains: tuple[float, ...]  # of each method
    over_share_gain: float  # part of a gain that counts beyond a customer's share
    soft_deadline: int  # the usual one
    quotas: tuple[float, ...]  # of each customer, RPCs a second; 0: none
    longest_retry_after: int  # 0: clients are told no time

    @classmethod
    def of(cls, settings: Settings) -> "AdmissionSettings":
        """From the module's settings."""
        methods = settings.methods
        return cls(
            gains=tuple(method.gain for method in methods),
            over_share_gain=settings.over_share_gain,
            soft_deadline=sum(method.soft_deadline for method in methods) // max(1, len(methods)),
            quotas=tuple(customer.quota for customer in settings.customers),
            longest_retry_after=settings.max_retry_after if settings.may_retry_after else 0,
        )


class AdmissionController:
    """Counts of this dispatcher go out as `digests`; what others sent comes back by `update`."""

    def __init__(
        self,
        settings: AdmissionSettings,
        life: tuple[str, int, int],
        digest_settings: DigestSettings,
        seed: int,
        log: Callable[[str], None],
        now: int,
    ) -> None:
        self.settings, self.seed, self.draws = settings, seed, 0
        self.priorities = PriorityLevels(settings.gains, settings.over_share_gain)
        count, soft = self.priorities.count, settings.soft_deadline
        self.demand = [f"asked {priority}" for priority in range(count)]
        self.customers = [f"customer {i}" for i in range(min(CUSTOMERS, len(settings.quotas)))]
        columns = [*self.demand, "let", "good", "bad", "gone", "fault", "again", "repeat", *self.customers]
        self.digests = Digests(columns, life, digest_settings, now)
        self.fleet = Shedding(count, soft, lambda text: log(f"fleet {text}"), now)
        self.own = Shedding(count, soft, lambda text: None, now)
        self.fallback = Fallback(log, now)
        self.calendar = RetryCalendar(settings.longest_retry_after, now)
        self.level = Level(count)
        self.room = 0.0  # RPCs a second for those that retry, of one's own part
        self.shares = dict[int, float]()  # of a customer's RPCs, the part within its share
        self.size = 1  # of the fleet as last known
        self.denied = 0
        self.unused = UnusedRoom(now)
        self.further = inf  # attempts a second, of the fleet's budget
        self.figures: Figures | None = None

    # an RPC

    def admit(self, method: int, customer: int, repeat: bool, key: str, now: int) -> int | None:
        """None: let in. Else it is denied, and may retry after so long; 0: no time can be named."""
        beyond = hash_fraction(f"share {key}") >= self.shares.get(customer, 1.0)
        priority = self.priorities.priority(method, beyond, repeat)
        self.digests.add(self.demand[priority])
        if customer < len(self.customers):
            self.digests.add(self.customers[customer])
        admitted = self.level.admits(priority, key)
        if admitted:
            self.unused.charge(now)
        if admitted or self.unused.try_take(now):
            self.digests.add("let")
            self.digests.add("repeat", int(repeat))
            return None
        self.denied += 1
        self.draws += 1
        chance = crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
        return self.calendar.reserve(now, MIN_RETRY_AFTER, self.room, chance)

    def count_restart(self) -> None:
        """One that was let in begins once more, under another version."""
        self.digests.add("let")

    def count_further_attempt(self) -> None:
        """A further attempt goes out, or would have where the module had been let."""
        self.digests.add("again")

    def ended(self, how: str, late: bool, cost: bool, fault: bool = False) -> None:
        """One that was let in has ended: `ok`, `denied`, `aborted`, or its client `left`, or it `moved`. What
        cost no worker anything is no sign of strain, however it ended: the module sheds by itself, and a
        level that took that for strain would deny ever more. Nor is a soon end by a `fault` of a worker: it
        took its place there like one done, and fewer let in would only make fewer done."""
        good = how == "ok" and not late
        gone = not cost or (how in ("left", "moved") and not late)
        self.digests.add("good" if good else "gone" if gone else "fault" if fault and not late else "bad")

    # the figures

    def update(self, present: Callable[[str], bool], size: int, now: int) -> None:
        """Work the level out anew. `size`: of the fleet, oneself included; 0: one is no member."""
        figures = self.figures = self.digests.figures(now, present, max(1, size))
        own = self.digests.own_figures()
        if size > 1:
            self.size = size
        fleet_traffic, own_traffic = self.traffic(figures), self.traffic(own)
        basis = self.fallback.update(figures.counted, size, own_traffic.admitted, now)
        levels = {
            Basis.FLEET: self.fleet.update(fleet_traffic, now),
            Basis.OWN: self.own.update(own_traffic, now),
            Basis.NONE: Level(self.priorities.count),
        }
        self.level = levels[basis]
        by_fleet = basis is Basis.FLEET
        traffic, shedding = (fleet_traffic, self.fleet) if by_fleet else (own_traffic, self.own)
        part = self.unused.own_part(sum(own_traffic.demand), sum(traffic.demand), traffic.age, now)
        self.unused.set_rate(shedding.room * part if self.sheds else inf, now)
        rates = figures.rates if by_fleet else own.rates
        self.further = further_attempt_rate(rates, own.rates, basis is not Basis.NONE)
        self.room = self.room_for_retries(own_traffic, shedding.room, part)
        self.update_shares(rates, basis)

    def room_for_retries(self, own: Traffic, room: float, part: float) -> float:
        """What one's own part of the room leaves beyond first tries."""
        if room == inf:
            return 0.0
        by_priority = zip(own.demand, self.priorities.priorities, strict=False)
        firsts = sum(rate for rate, priority in by_priority if not priority.repeat)
        return max(0.0, room * part - firsts)

    def update_shares(self, rates: Mapping[str, float], basis: Basis) -> None:
        """Which part of each customer's RPCs lies within its quota; alone, within one's part of it."""
        self.shares.clear()
        if basis is Basis.NONE:
            return
        for i, name in enumerate(self.customers):
            quota = self.settings.quotas[i] / (1 if basis is Basis.FLEET else self.size)
            rate = rates[name]
            if 0 < quota < rate:
                self.shares[i] = quota / rate

    @property
    def sheds(self) -> bool:
        """Whether the level in force denies anything."""
        return self.level.priority < self.priorities.count

    def traffic(self, figures: Figures) -> Traffic:
        """The counters read as traffic. What ended at no cost was never let in, for the level's sake."""
        rates, totals = figures.rates, figures.totals
        in_flight = totals["let"] - totals["good"] - totals["bad"] - totals["gone"] - totals["fault"]
        return Traffic(
            demand=tuple(rates[name] for name in self.demand),
            admitted=max(0.0, rates["let"] - rates["gone"]),
            good=rates["good"] + rates["fault"],
            bad=rates["bad"],
            in_flight=max(0.0, in_flight),
            age=figures.age,
        )

    def show(self) -> dict[str, Any]:
        """For operators (`lapistrestle fleet show --json`)."""
        figures = self.figures
        return {
            "step": NAMES[self.fallback.basis], "shedding": self.fleet.mode.name.lower(),
            "level": round(self.level.value, 3), "rungs": self.priorities.count, "denied": self.denied,
            "further": None if self.further == inf else round(self.further, 1),
            "told": figures.counted if figures else 1, "age ms": figures.age / 10 if figures else 0.0,
            "rates": {k: round(v, 1) for k, v in figures.rates.items()} if figures else {},
            "beyond": {str(i): round(1 - part, 3) for i, part in self.shares.items()},
        }  # fmt: skip
