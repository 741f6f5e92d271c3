"""Parts of one whole whose sum never passes it, at any moment, free of I/O (docs/fleet.md).

The whole is cut by number: each dispatcher owns its cut, and no other ever counts on it. A cut follows
need by loans. The lender uses less before it says that it lends, and more again only when the loan is over by
its own clock, counted from when it was asked; the borrower counts the loan from when *it* asked, and both
leave room for clocks that run wrong. So nothing that is lost, late or doubled, no death and no standstill
makes two use the same unit. What dies with a dispatcher is the use of its cut, until it is back.

A process that starts does not know what the one before it has lent. It keeps part of its cut that is never
lent, and has the rest when the longest loan is over.
"""

from collections import deque
from dataclasses import dataclass

from lapistrestle.wire.fleet import Lend, Lent, Returned

SECOND = 10_000  # in tenths of a millisecond
MOST_OPEN = 8  # own requests that may be open at once
MOST_LOANS = 256  # given at once: guards against one that asks without end

Life = tuple[str, int, int]  # name, boot and nonce: one start of one process


@dataclass(frozen=True)
class AllowanceSettings:
    """Spans are whole tenths of a millisecond."""

    lasts: int = 4 * SECOND  # a loan
    settle: int = SECOND  # use counts for so long after it: a window of the limit, or work under way
    drift: float = 0.1  # no clock is wrong by more than this part
    kept: float = 0.5  # part of one's cut which is never lent


@dataclass(frozen=True)
class Loan:
    """Units lent or borrowed, until a moment."""

    units: int
    until: int  # by the clock of whoever holds this record


class Allowance:
    """One dispatcher's part of `whole` units, cut over `of` dispatchers of which it is number `me`."""

    def __init__(
        self, name: str, whole: int, of: int, me: int, settings: AllowanceSettings, now: int
    ) -> None:
        self.name, self.settings = name, settings
        self.cut = whole * (me + 1) // of - whole * me // of if 0 <= me < of else 0
        self.kept = int(self.cut * self.settings.kept)
        self.whole_from = now + self.longest()
        self.lent_out: dict[tuple[Life, int], Loan] = {}
        self.borrowed: dict[tuple[Life, int], Loan] = {}
        self.open: dict[int, tuple[Life, int]] = {}  # own asks by number: of whom, and when
        self.uses: deque[tuple[int, int]] = deque()  # when, how many units
        self.numbers, self.wanted = now, 0  # so that no number of the process before comes again
        self.suspended = False  # displaced or left: nothing may be used

    def longest(self) -> int:
        """After so long by one's own clock no loan that was asked for before is used by anybody."""
        return int(self.settings.lasts * (1 + self.settings.drift)) + 1

    def part(self, now: int) -> int:
        """Units that may be in use at this moment. Ask at each use: a process that stood still has less."""
        if self.suspended:
            return 0
        own = self.cut if now >= self.whole_from else self.kept
        self.lent_out = {key: loan for key, loan in self.lent_out.items() if now < loan.until}
        self.borrowed = {key: loan for key, loan in self.borrowed.items() if now < loan.until}
        return own - self.lent_units() + sum(loan.units for loan in self.borrowed.values())

    def lent_units(self) -> int:
        """Units lent to others."""
        return sum(loan.units for loan in self.lent_out.values())

    def note(self, used: int, now: int) -> None:
        """So many units are in use now."""
        while self.uses and self.uses[-1][1] <= used:
            self.uses.pop()
        self.uses.append((now, used))

    def used(self, now: int) -> int:
        """The most in use within the time that use settles in."""
        while len(self.uses) > 1 and self.uses[1][0] <= now - self.settings.settle:
            self.uses.popleft()
        return max((used for _, used in self.uses), default=0)

    def spare(self, now: int) -> int:
        """Units that were not in use of late."""
        return max(0, self.part(now) - self.used(now))

    # as a borrower

    def request(self, lender: Life, units: int, now: int) -> Lend | None:
        """Ask for units; None where too many asks are open."""
        self.open = {n: (who, at) for n, (who, at) in self.open.items() if now < at + self.settings.lasts}
        if units <= 0 or len(self.open) >= MOST_OPEN or self.suspended:
            return None
        self.numbers += 1
        self.open[self.numbers] = (lender, now)
        return Lend(self.name, self.numbers, now, units)

    def lent(self, lender: Life, word: Lent, now: int) -> None:
        """An answer. It counts once, and from when we asked. One to the process before us, under a number of
        ours, is told apart by when that one asked."""
        waited = self.open.get(word.number)
        if waited != (lender, word.asked) or word.allowance != self.name:
            return
        del self.open[word.number]
        lasts = min(word.lasts, self.settings.lasts) * (1 - self.settings.drift) - self.settings.settle
        until = waited[1] + int(lasts)
        if now < until:
            self.borrowed[lender, word.number] = Loan(word.units, until)

    def give_back(self, now: int) -> list[tuple[Life, Returned]]:
        """Loans that are not needed, and were not in use of late; they are given up before this is said."""
        spare, ends = self.spare(now), list[tuple[Life, Returned]]()
        for (lender, number), loan in list(self.borrowed.items()):
            if loan.units <= spare and self.wanted <= self.part(now) - loan.units:
                spare -= loan.units
                del self.borrowed[lender, number]
                ends.append((lender, Returned(self.name, number)))
        return ends

    # as a lender

    def lend(self, borrower: Life, word: Lend, now: int) -> Lent | None:
        """Lend half of what is spare and not kept; None: nothing. Asked twice, it is lent once."""
        known = self.lent_out.get((borrower, word.number))
        if known is not None and now < known.until:
            return Lent(self.name, word.number, word.asked, known.units, self.settings.lasts)
        if (
            word.allowance != self.name
            or now < self.whole_from
            or len(self.lent_out) >= MOST_LOANS
            or self.suspended
        ):
            return None
        part = self.part(now)
        own = min(self.cut - self.kept - self.lent_units(), part - max(self.used(now), self.wanted))
        units = min(word.units, (own + 1) // 2)
        if units <= 0:
            return None
        self.lent_out[borrower, word.number] = Loan(units, now + self.longest())
        return Lent(self.name, word.number, word.asked, units, self.settings.lasts)

    def returned(self, borrower: Life, word: Returned, now: int) -> None:
        """A loan is over before its time."""
        if word.allowance == self.name:
            self.lent_out.pop((borrower, word.number), None)
