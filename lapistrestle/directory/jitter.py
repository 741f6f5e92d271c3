"""Seeded chance that spreads in time what would crowd."""

from zlib import crc32


class Jitter:
    """Seeded chance: the same draws in every run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def below(self, bound: int) -> int:
        """A whole number from 0 up to, not including, the bound; 0 where that is nothing."""
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, bound)
