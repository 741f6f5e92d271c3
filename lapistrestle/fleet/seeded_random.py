"""Seeded pseudo-random numbers, each the crc32 of seed and counter, so that runs are reproducible."""

from collections.abc import Sequence
from typing import TypeVar
from zlib import crc32

T = TypeVar("T")


class SeededRandom:
    """A sequence determined by a seed, and by a stream name if one seed is used for several."""

    def __init__(self, seed: int, stream: str = "") -> None:
        self.prefix = f"{seed}:{stream}:" if stream else f"{seed}:"
        self.count = 0  # numbers generated

    def below(self, bound: int) -> int:
        """An integer in [0, bound); 0 if `bound` is less than 1."""
        self.count += 1
        return crc32(f"{self.prefix}{self.count}".encode()) % max(1, bound)

    def fraction(self) -> float:
        """A number in [0, 1)."""
        return self.below(2**32) / 2**32

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """`count` of the items without repetition, or all if there are fewer, in random order."""
        remaining = list(items)
        chosen = list[T]()
        while remaining and len(chosen) < count:
            chosen.append(remaining.pop(self.below(len(remaining))))
        return chosen
