"""What is denied first: priorities of RPCs by what they earn, the same at all of a fleet."""

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

MOST = 16  # priorities; further worths share the last, so that a row of counters stays small


@dataclass(frozen=True)
class Priority:
    """What sets RPCs apart where not all can be let in."""

    worth: float  # gain of the method, for what is beyond a share as the operators count it
    repeat: bool


class PriorityLevels:
    """Priorities in order, 0 denied last. Of equal worth a first try goes before a repeat: who was never
    answered before who was, and repeats that push out first tries would make more repeats.

    `gains`: of each method; `over_share_gain`: the part of it that counts beyond a customer's share.
    """

    def __init__(self, gains: Sequence[float], over_share_gain: float) -> None:
        self.methods = [(gain, gain * over_share_gain) for gain in gains]
        worths = {worth for pair in self.methods for worth in pair}
        made = [Priority(worth, repeat) for worth in worths for repeat in (False, True)]
        self.priorities = sorted(made, key=lambda priority: (-priority.worth, priority.repeat))
        self.index = {priority: min(i, MOST - 1) for i, priority in enumerate(self.priorities)}
        self.count = min(MOST, len(self.priorities))

    def priority(self, method: int, beyond: bool, repeat: bool) -> int:
        """Of an RPC of this method, within its customer's share or beyond; 0 is denied last."""
        return self.index[Priority(self.methods[method][beyond], repeat)]


@dataclass(frozen=True)
class AdmissionLevel:
    """The level of admission: priorities under `priority` are let in, of that one this `fraction` of keys, of
    those above none."""

    priority: int
    fraction: float = 0.0

    def admits(self, priority: int, key: str) -> bool:
        """The same for one key at every dispatcher with this level."""
        if priority == self.priority:
            return hash_fraction(key) < self.fraction
        return priority < self.priority

    @property
    def value(self) -> float:
        """The level as one number."""
        return self.priority + self.fraction


def hash_fraction(key: str) -> float:
    """Where a key lies in [0, 1)."""
    return crc32(key.encode()) / 2**32


def level_for(demand: Sequence[float], room: float) -> AdmissionLevel:
    """The level at which demand by priority fits into `room`, both in RPCs a second."""
    left = room
    for priority, amount in enumerate(demand):
        if amount > left:
            return AdmissionLevel(priority, max(0.0, left) / amount)
        left -= amount
    return AdmissionLevel(len(demand))
