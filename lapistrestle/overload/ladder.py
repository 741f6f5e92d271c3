"""What is denied first: RPCs in rungs by what they earn, the same at every dispatcher of a deployment."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from zlib import crc32

MOST = 16  # rungs; further worths share the last, so that a row of counters stays small


@dataclass(frozen=True)
class Rung:
    worth: float  # gain of the method, for what is beyond a share as the operators count it
    repeat: bool


class Ladder:
    """Rungs from the one denied last. Of equal worth a first try goes before a repeat: who was never answered
    before who was, and repeats that push out first tries would make more repeats."""

    def __init__(self, facts: Mapping[str, Any]) -> None:
        gains = [method["gain"] for method in facts["methods"]]
        over = facts["over_share_gain"]
        self.methods = [(gain, gain * over) for gain in gains]
        made = {Rung(worth, repeat) for pair in self.methods for worth in pair for repeat in (False, True)}
        self.rungs = sorted(made, key=lambda rung: (-rung.worth, rung.repeat))
        self.index = {rung: min(i, MOST - 1) for i, rung in enumerate(self.rungs)}
        self.count = min(MOST, len(self.rungs))

    def rung(self, method: int, beyond: bool, repeat: bool) -> int:
        """0 is denied last."""
        return self.index[Rung(self.methods[method][beyond], repeat)]


@dataclass(frozen=True)
class Level:
    """Rungs under `rung` are let in, of that one this `part` of the keys, of those above none."""

    rung: int
    part: float = 0.0

    def admits(self, rung: int, key: str) -> bool:
        """The same for one key at every dispatcher with this level."""
        return rung < self.rung or (rung == self.rung and point(key) < self.part)

    @property
    def height(self) -> float:
        return self.rung + self.part


def point(key: str) -> float:
    """Where a key lies in [0, 1)."""
    return crc32(key.encode()) / 2**32


def level_for(asked: Sequence[float], room: float) -> Level:
    """The level at which demand by rung fits into `room`."""
    left = room
    for rung, amount in enumerate(asked):
        if amount > left:
            return Level(rung, max(0.0, left) / amount)
        left -= amount
    return Level(len(asked))
