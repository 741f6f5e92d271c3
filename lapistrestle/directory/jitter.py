"""Seeded jitter, so that requests of many processes do not arrive at once."""

from zlib import crc32


class Jitter:
    """A deterministic pseudo-random sequence, the same in every run with one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def below(self, bound: int) -> int:
        """An integer in [0, bound); 0 if `bound` is less than 1."""
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % max(1, bound)
