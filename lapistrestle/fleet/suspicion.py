"""How long a suspect has to refute, after SWIM and Lifeguard (sources: docs/fleet.md)."""

from math import log, log10

from lapistrestle.fleet.member_table import MAX_CONFIRMATIONS, Member
from lapistrestle.fleet.settings import MembershipSettings

MAX_SCORE = 4  # worst health of oneself: everything takes so many times longer, and once more
MAX_SUSPICION = 4  # the longest suspicion, of an accuser that nobody confirms, over the least


class LocalHealth:
    """Lifeguard's doubt of oneself: 0 while all is well, higher the more speaks for a fault of our own."""

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """Something speaks for us."""
        self.score = max(0, self.score - 1)

    def worsen(self) -> None:
        """Something speaks for a fault of our own."""
        self.score = min(MAX_SCORE, self.score + 1)

    def stretch(self, span: int) -> int:
        """A span as long as this health demands."""
        return span * (1 + self.score)


def suspicion_ends(member: Member, size: int, settings: MembershipSettings, health: LocalHealth) -> int:
    """When a suspect counts as dead: sooner the more accuse it, later the worse our own health. `size` is
    that of the fleet, oneself included."""
    others = max(0, size - 2)
    least = settings.suspicion_multiplier * max(1.0, log10(others + 2)) * settings.protocol_period
    wanted = min(MAX_CONFIRMATIONS, others)
    confirmed = min(wanted, max(0, len(member.suspecters) - 1))
    part = log(confirmed + 1) / log(wanted + 1) if wanted else 1.0
    lasts = least * (MAX_SUSPICION - (MAX_SUSPICION - 1) * part)
    return member.since + int(lasts * (1 + health.score))
