"""Who asks whom for units of an allowance, and when: between `allowance` and the datagrams, free of I/O.

A dispatcher that uses all of its part asks one of the others, another each time; the one asked lends half
of what it does not need. What was borrowed goes back as soon as it is not needed. No word is waited for: a
lost ask is asked again elsewhere, a lost answer ends by itself.
"""

from collections.abc import Callable, Sequence
from zlib import crc32

from lapistrestle.fleet.allowance import Allowance, Life
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim

Send = Callable[[Claim, wire.AnyWord], None]
MORE = 4  # of one's part is asked for at once, one unit at the least


class Lending:
    """One dispatcher's part in lending. `send` takes the claim of whom to tell, and the word; `used` tells
    the units in use at this moment: since the last look they may be more, and what is in use is not lent."""

    def __init__(self, allowance: Allowance, used: Callable[[], int], send: Send, seed: int) -> None:
        self.allowance, self.used, self.send, self.seed, self.draws = allowance, used, send, seed, 0
        self.wished = 0  # units that could not be had since the last look

    def part(self, now: int) -> int:
        """Units that may be in use at this moment; ask at each use."""
        return self.allowance.part(now)

    def wish(self) -> None:
        """One more was wanted than may be used."""
        self.wished += 1

    def look(self, here: Sequence[Claim], member: bool, now: int) -> None:
        """`here` are the others that count as there; one that is no `member` of its fleet uses nothing, since
        another may have its name and number."""
        allowance, used = self.allowance, self.used()
        allowance.out = not member
        allowance.note(used, now)
        part = allowance.part(now)
        short = used >= part and self.wished > 0
        allowance.wanted = used + max(1, part // MORE) if short else used
        self.wished = 0
        if short and here:
            self.draws += 1
            lender = here[crc32(f"{self.seed}:lend:{self.draws}".encode()) % len(here)]
            if (word := allowance.ask(lender.life, max(1, part // MORE), now)) is not None:
                self.send(lender, word)
        holders = {claim.life: claim for claim in here}
        for life, returned in allowance.give_back(now):
            if life in holders:
                self.send(holders[life], returned)

    def heard(self, sender: Claim, word: wire.AnyWord, now: int) -> None:
        life: Life = sender.life
        self.allowance.note(self.used(), now)
        match word:
            case wire.Lend():
                if (lent := self.allowance.asked(life, word, now)) is not None:
                    self.send(sender, lent)
            case wire.Lent():
                self.allowance.lent(life, word, now)
            case wire.Returned():
                self.allowance.returned(life, word, now)
