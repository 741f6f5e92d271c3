"""Suspicion time-outs and local health, after SWIM and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018)."""

from math import log, log10

from lapistrestle.fleet.member_table import MAX_CONFIRMATIONS, Member
from lapistrestle.fleet.settings import MembershipSettings

MAX_LOCAL_HEALTH = 4  # worst score, with which time-outs are 1 + 4 times as long
MAX_SUSPICION_FACTOR = 4  # ratio of the longest suspicion (unconfirmed) to the shortest


class LocalHealth:
    """Lifeguard's local health score: 0 is healthy; it rises with signs of a fault of this process."""

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """A probe was acknowledged, or a nack was received in time."""
        self.score = max(0, self.score - 1)

    def worsen(self) -> None:
        """A probe failed, a suspicion of us had to be refuted, or this process stalled."""
        self.score = min(MAX_LOCAL_HEALTH, self.score + 1)

    def scale(self, duration: int) -> int:
        """A time-out scaled by the score."""
        return duration * (1 + self.score)


def suspicion_deadline(member: Member, size: int, settings: MembershipSettings, health: LocalHealth) -> int:
    """When a suspect is declared dead, in ticks; `size` is that of the fleet, this member included.

    Lifeguard's time-out: max - (max - min) * log(C + 1) / log(K + 1) for C of K confirmations; it is shorter
    the more members suspect independently, and longer the worse our own health.
    """
    others = max(0, size - 2)
    shortest = settings.suspicion_multiplier * max(1.0, log10(others + 2)) * settings.protocol_period
    expected = min(MAX_CONFIRMATIONS, others)
    confirmations = min(expected, max(0, len(member.suspected_by) - 1))
    progress = log(confirmations + 1) / log(expected + 1) if expected else 1.0
    timeout = shortest * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * progress)
    return member.status_since + int(timeout * (1 + health.score))
