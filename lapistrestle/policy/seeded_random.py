"""Repeatable draws: the same seed and the same events give the same decisions."""

from zlib import crc32


class SeededRandom:
    """Numbers drawn one after the other from a seed."""

    __slots__ = ("count", "seed")

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0  # numbers drawn so far

    def randbelow(self, limit: int) -> int:
        """Draw a whole number from 0 up to `limit`, which itself is not drawn."""
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) % max(1, limit)
