"""Which member is asked for units of an allowance, and when: between `allowance` and the datagrams.

A dispatcher that uses all of its part asks one of the others, another each time; the one asked lends half
of what it does not need. What was borrowed goes back as soon as it is not needed. No word is waited for: a
lost request is made again elsewhere, a lost answer ends by itself. Free of I/O.
"""

from collections.abc import Callable, Sequence
from zlib import crc32

from lapistrestle.fleet.allowance import Allowance, Life
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Claim

Send = Callable[[Claim, wire.AnyWord], None]
REQUESTED_PART = 4  # a request is for one's part over this, one unit at the least


class Lending:
    """One dispatcher's part in lending. `send` takes the claim of whom to tell, and the word; `used` gives
    the units in use now: since the last update they may be more, and what is in use is not lent."""

    def __init__(self, allowance: Allowance, used: Callable[[], int], send: Send, seed: int) -> None:
        self.allowance, self.used, self.send, self.seed, self.draws = allowance, used, send, seed, 0
        self.wished = 0  # units that could not be had since the last update

    def part(self, now: int) -> int:
        """Units that may be in use at this moment; ask at each use."""
        return self.allowance.part(now)

    def wish(self) -> None:
        """One more was wanted than may be used."""
        self.wished += 1

    def update(self, live: Sequence[Claim], member: bool, now: int) -> None:
        """`live` are the others that count as there; one that is no `member` of its fleet uses nothing, since
        another may have its name and number."""
        allowance, used = self.allowance, self.used()
        allowance.suspended = not member
        allowance.note(used, now)
        part = allowance.part(now)
        short = used >= part and self.wished > 0
        allowance.wanted = used + max(1, part // REQUESTED_PART) if short else used
        self.wished = 0
        if short and live:
            self.draws += 1
            lender = live[crc32(f"{self.seed}:lend:{self.draws}".encode()) % len(live)]
            if (word := allowance.request(lender.life, max(1, part // REQUESTED_PART), now)) is not None:
                self.send(lender, word)
        holders = {claim.life: claim for claim in live}
        for life, returned in allowance.give_back(now):
            if life in holders:
                self.send(holders[life], returned)

    def heard(self, sender: Claim, word: wire.AnyWord, now: int) -> None:
        """A word of lending came."""
        life: Life = sender.life
        self.allowance.note(self.used(), now)
        match word:
            case wire.Lend():
                if (lent := self.allowance.lend(life, word, now)) is not None:
                    self.send(sender, lent)
            case wire.Lent():
                self.allowance.lent(life, word, now)
            case wire.Returned():
                self.allowance.returned(life, word, now)
