"""Priorities of requests for load shedding, by gain, the same at all members of a fleet.

Admission levels by priority, shared by all servers, are those of DAGOR (Zhou et al., "Overload Control for
Scaling WeChat Microservices", SoCC 2018); see docs/overload.md.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

MAX_PRIORITIES = 16  # further weights share the last one, which bounds the size of a counter snapshot


@dataclass(frozen=True)
class Priority:
    """A class of requests that are shed together."""

    weight: float  # gain of the method, reduced for requests beyond a customer's quota
    is_retry: bool  # the client has sent the request before


class PriorityLevels:
    """Priorities in order; 0 is shed last.

    At equal weight a first request has priority over a retry: clients without any answer come first, and
    retries that displace first requests would cause more retries.
    """

    def __init__(self, gains: Sequence[float], over_share_gain: float) -> None:
        """`gains` are those of the methods; `over_share_gain` is the factor beyond a customer's quota."""
        self.weights = [(gain, gain * over_share_gain) for gain in gains]  # within and beyond a quota
        distinct = {weight for pair in self.weights for weight in pair}
        priorities = [Priority(weight, is_retry) for weight in distinct for is_retry in (False, True)]
        self.priorities = sorted(priorities, key=lambda priority: (-priority.weight, priority.is_retry))
        self.index = {priority: min(i, MAX_PRIORITIES - 1) for i, priority in enumerate(self.priorities)}
        self.count = min(MAX_PRIORITIES, len(self.priorities))

    def priority_of(self, method: int, is_beyond_quota: bool, is_retry: bool) -> int:
        """Return the priority of a request of this method; 0 is shed last."""
        return self.index[Priority(self.weights[method][is_beyond_quota], is_retry)]


@dataclass(frozen=True)
class AdmissionLevel:
    """Admits all priorities below `priority`, the `fraction` of the keys at it, and none above."""

    priority: int
    fraction: float = 0.0

    def admits(self, priority: int, key: str) -> bool:
        """Whether a request is admitted; the same for a key at every member with this level."""
        if priority == self.priority:
            return hash_fraction(key) < self.fraction
        return priority < self.priority

    @property
    def value(self) -> float:
        """The level as one number."""
        return self.priority + self.fraction


def hash_fraction(key: str) -> float:
    """Return the key's hash in [0, 1), uniform and the same at every member."""
    return crc32(key.encode()) / 2**32


def level_for(demand: Sequence[float], capacity: float) -> AdmissionLevel:
    """Return the level at which the demand by priority fits the capacity, both in requests a second."""
    remaining = capacity
    for priority, amount in enumerate(demand):
        if amount > remaining:
            return AdmissionLevel(priority, max(0.0, remaining) / amount)
        remaining -= amount
    return AdmissionLevel(len(demand))
