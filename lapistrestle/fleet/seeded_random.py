"""Seeded chance: each draw is crc32 over the seed and a counter, so that runs repeat."""

from collections.abc import Sequence
from typing import TypeVar
from zlib import crc32

T = TypeVar("T")


class SeededRandom:
    """Draws in order, of one seed."""

    def __init__(self, seed: int) -> None:
        self.seed, self.count = seed, 0

    def below(self, bound: int) -> int:
        """A number from 0 on, under `bound`."""
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) % max(1, bound)

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """That many of them, in the order drawn."""
        left, chosen = list(items), list[T]()
        while left and len(chosen) < count:
            chosen.append(left.pop(self.below(len(left))))
        return chosen
