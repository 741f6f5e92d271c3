"""The door of one dispatcher in a fleet: what it counts, what it lets in, when it asks others to come back.

Free of I/O: counts and figures in, a verdict out. The level in force is the fleet's, one's own, or none, as
far as the figures can be relied on (`alone`). Both levels are worked out all the time, so that a change
between them begins from what is true and not from nothing.
"""

from collections.abc import Callable, Mapping
from typing import Any
from zlib import crc32

from lapistrestle.fleet.digests import Digests, DigestSettings, Figures
from lapistrestle.overload.alone import Reliance, Step
from lapistrestle.overload.budget import further_rate
from lapistrestle.overload.comeback import Calendar
from lapistrestle.overload.filling import Filling
from lapistrestle.overload.ladder import Ladder, Level, point
from lapistrestle.overload.shedding import Seen, Shedding

SECOND = 10_000  # in tenths of a millisecond
LOOK = SECOND // 2  # between two looks at the figures, which are told no sooner
LEAST = SECOND // 2  # nobody is asked back sooner: the figures could not show what came of it
CUSTOMERS = 24  # counted by name; further ones are never beyond a share


class Door:
    """`facts` is the module's plain map. Counters of a fleet: `columns` of `Digests`."""

    def __init__(
        self,
        facts: Mapping[str, Any],
        life: tuple[str, int, int],
        digest_settings: DigestSettings,
        seed: int,
        log: Callable[[str], None],
        now: int,
    ) -> None:
        self.facts, self.seed, self.draws = facts, seed, 0
        self.ladder = Ladder(facts)
        rungs = range(self.ladder.count)
        self.asked = [f"asked {rung}" for rung in rungs]
        self.customers = [f"customer {i}" for i in range(min(CUSTOMERS, len(facts["customers"])))]
        columns = [*self.asked, "let", "good", "bad", "gone", "fault", "again", "repeat", *self.customers]
        self.digests = Digests(columns, life, digest_settings, now)
        softs = [method["soft_deadline"] for method in facts["methods"]]
        soft = sum(softs) // max(1, len(softs))
        self.fleet = Shedding(self.ladder.count, soft, lambda text: log(f"fleet {text}"), now)
        self.own = Shedding(self.ladder.count, soft, lambda text: None, now)
        self.reliance = Reliance(log, now)
        self.calendar = Calendar(facts["longest_come_back"] if facts["may_come_back"] else 0, now)
        self.level, self.room = Level(self.ladder.count), 0.0  # for those that come back, of one's own part
        self.shares = dict[int, float]()  # of a customer's RPCs, the part within its share
        self.size = 1  # of the fleet as last known
        self.denied = 0
        self.filling = Filling(now)
        self.further = float("inf")  # call-outs a second, of the fleet's budget
        self.figures: Figures | None = None

    # an RPC

    def gate(self, method: int, customer: int, repeat: bool, key: str, now: int) -> int | None:
        """None: let in. Else it is denied, and may come back after so long; 0: no time can be named."""
        beyond = point(f"share {key}") >= self.shares.get(customer, 1.0)
        rung = self.ladder.rung(method, beyond, repeat)
        self.digests.add(self.asked[rung])
        if customer < len(self.customers):
            self.digests.add(self.customers[customer])
        admitted = self.level.admits(rung, key)
        if admitted:
            self.filling.took(now)
        if admitted or self.filling.takes(now):
            self.digests.add("let")
            self.digests.add("repeat", int(repeat))
            return None
        self.denied += 1
        self.draws += 1
        chance = crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
        return self.calendar.promise(now, LEAST, self.room, chance)

    def again(self) -> None:
        """One that was let in begins once more, under another version."""
        self.digests.add("let")

    def wished(self) -> None:
        """A further call-out goes out, or would have where the module had been let."""
        self.digests.add("again")

    def ended(self, how: str, late: bool, cost: bool, fault: bool = False) -> None:
        """One that was let in has ended: `ok`, `denied`, `aborted`, or its client `left`, or it `moved`. What
        cost no worker anything is no sign of strain, however it ended: the module sheds by itself, and a
        level that took that for strain would shut the door ever further. Nor is a soon end by a `fault` of a
        worker: it took its place there like one done, and fewer let in would only make fewer done."""
        good = how == "ok" and not late
        gone = not cost or (how in ("left", "moved") and not late)
        self.digests.add("good" if good else "gone" if gone else "fault" if fault and not late else "bad")

    # the figures

    def look(self, present: Callable[[str], bool], size: int, now: int) -> None:
        """Work the level out anew. `size`: of the fleet, oneself included; 0: one is no member."""
        figures = self.figures = self.digests.figures(now, present, max(1, size))
        own = self.digests.own_figures()
        if size > 1:
            self.size = size
        fleet_seen, own_seen = self.seen(figures), self.seen(own)
        step = self.reliance.look(figures.counted, size, own_seen.let, now)
        levels = {
            Step.TOGETHER: self.fleet.see(fleet_seen, now),
            Step.PART: self.own.see(own_seen, now),
            Step.ALONE: Level(self.ladder.count),
        }
        self.level = levels[step]
        seen, shedding = (fleet_seen, self.fleet) if step is Step.TOGETHER else (own_seen, self.own)
        part = self.filling.part(sum(own_seen.asked), sum(seen.asked), seen.age, now)
        self.filling.set(shedding.room * part if self.sheds else float("inf"), now)
        rates = figures.rates if step is Step.TOGETHER else own.rates
        self.further = further_rate(rates, own.rates, step is not Step.ALONE)
        rungs = zip(own_seen.asked, self.ladder.rungs, strict=False)
        firsts = sum(rate for rate, rung in rungs if not rung.repeat)
        self.room = max(0.0, shedding.room * part - firsts) if shedding.room < float("inf") else 0.0
        self.shares.clear()
        if step is not Step.ALONE:
            for i, name in enumerate(self.customers):
                quota = self.facts["customers"][i]["quota"] / (1 if step is Step.TOGETHER else self.size)
                rate = rates[name]
                if 0 < quota < rate:
                    self.shares[i] = quota / rate

    @property
    def sheds(self) -> bool:
        """Whether the level in force denies anything."""
        return self.level.rung < self.ladder.count

    def seen(self, figures: Figures) -> Seen:
        rates, totals = figures.rates, figures.totals
        out = totals["let"] - totals["good"] - totals["bad"] - totals["gone"] - totals["fault"]
        asked = tuple(rates[name] for name in self.asked)
        let = max(0.0, rates["let"] - rates["gone"])
        return Seen(asked, let, rates["good"] + rates["fault"], rates["bad"], max(0.0, out), figures.age)

    def show(self) -> dict[str, Any]:
        """For operators."""
        figures = self.figures
        return {
            "step": self.reliance.step.name.lower(), "shedding": self.fleet.mode.name.lower(),
            "level": round(self.level.height, 3), "rungs": self.ladder.count, "denied": self.denied,
            "further": None if self.further == float("inf") else round(self.further, 1),
            "told": figures.counted if figures else 1, "age ms": figures.age / 10 if figures else 0.0,
            "rates": {k: round(v, 1) for k, v in figures.rates.items()} if figures else {},
            "beyond": {str(i): round(1 - part, 3) for i, part in self.shares.items()},
        }  # fmt: skip
