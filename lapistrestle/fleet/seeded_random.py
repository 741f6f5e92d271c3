"""Seeded pseudo-random numbers: each is crc32 over the seed and a counter, so that runs repeat."""

from collections.abc import Sequence
from typing import TypeVar
from zlib import crc32

T = TypeVar("T")


class SeededRandom:
    """A sequence of numbers that follows from a seed, and a stream's name where one seed has several."""

    def __init__(self, seed: int, stream: str = "") -> None:
        self.prefix = f"{seed}:{stream}:" if stream else f"{seed}:"
        self.count = 0  # of numbers drawn

    def below(self, bound: int) -> int:
        """A number from 0 up to, not including, `bound`; 0 where that is less than 1."""
        self.count += 1
        return crc32(f"{self.prefix}{self.count}".encode()) % max(1, bound)

    def fraction(self) -> float:
        """A number in [0, 1)."""
        return self.below(2**32) / 2**32

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """That many of the items, or all if they are fewer, each at most once, in the order drawn."""
        remaining = list(items)
        chosen = list[T]()
        while remaining and len(chosen) < count:
            chosen.append(remaining.pop(self.below(len(remaining))))
        return chosen
