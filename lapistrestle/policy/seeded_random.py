"""Reproducible random numbers: the same seed and the same events give the same decisions."""

from zlib import crc32


class SeededRandom:
    """A sequence of pseudo-random numbers that depends only on the seed."""

    __slots__ = ("count", "seed")

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0  # numbers drawn so far

    def randbelow(self, limit: int) -> int:
        """Return a random integer in [0, limit); 0 if `limit` is below 1."""
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) % max(1, limit)
