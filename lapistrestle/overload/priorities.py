"""Which requests are shed first: priorities by what they earn, the same at all members of a fleet.

Levels by priority that are the same everywhere are those of DAGOR (Zhou et al., "Overload Control for Scaling
WeChat Microservices", SoCC 2018); see docs/overload.md.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

MAX_PRIORITIES = 16  # further weights share the last, so that a snapshot of counters stays small


@dataclass(frozen=True)
class Priority:
    """What sets requests apart where not all can be admitted."""

    weight: float  # gain of the method, or of what is beyond a quota as the operators count it
    is_retry: bool  # the client repeats a request


class PriorityLevels:
    """Priorities in order; 0 is shed last.

    Of equal weight a first request goes before a retry: whoever was never answered before whoever was, and
    retries that push out first requests would make more retries.
    """

    def __init__(self, gains: Sequence[float], over_share_gain: float) -> None:
        """`gains` are those of the methods; `over_share_gain` is the part that counts beyond a quota."""
        self.weights = [(gain, gain * over_share_gain) for gain in gains]  # within and beyond a quota
        distinct = {weight for pair in self.weights for weight in pair}
        priorities = [Priority(weight, is_retry) for weight in distinct for is_retry in (False, True)]
        self.priorities = sorted(priorities, key=lambda priority: (-priority.weight, priority.is_retry))
        self.index = {priority: min(i, MAX_PRIORITIES - 1) for i, priority in enumerate(self.priorities)}
        self.count = min(MAX_PRIORITIES, len(self.priorities))

    def priority_of(self, method: int, is_beyond_quota: bool, is_retry: bool) -> int:
        """Priority of a request of this method; 0 is shed last."""
        return self.index[Priority(self.weights[method][is_beyond_quota], is_retry)]


@dataclass(frozen=True)
class AdmissionLevel:
    """Admits all priorities under `priority`, this `fraction` of its keys, and none of those above."""

    priority: int
    fraction: float = 0.0

    def admits(self, priority: int, key: str) -> bool:
        """Whether a request is admitted; the same for one key at every member with this level."""
        if priority == self.priority:
            return hash_fraction(key) < self.fraction
        return priority < self.priority

    @property
    def value(self) -> float:
        """The level as one number."""
        return self.priority + self.fraction


def hash_fraction(key: str) -> float:
    """Where a key lies in [0, 1), evenly spread and the same everywhere."""
    return crc32(key.encode()) / 2**32


def level_for(demand: Sequence[float], capacity: float) -> AdmissionLevel:
    """The level at which demand by priority fits the capacity, both in requests a second."""
    remaining = capacity
    for priority, amount in enumerate(demand):
        if amount > remaining:
            return AdmissionLevel(priority, max(0.0, remaining) / amount)
        remaining -= amount
    return AdmissionLevel(len(demand))
