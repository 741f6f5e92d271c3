"""Which shard a function belongs to, and which copies hold a shard: static, under an epoch."""

from dataclasses import dataclass
from hashlib import blake2b
from math import log

ZONE_WEIGHT = 2.0  # of a copy in the watcher's own zone, against one elsewhere


@dataclass(frozen=True, slots=True)
class Copy:
    """A holder of a shard."""

    host: str
    port: int
    zone: str = ""


def shard_of(function: str, shards: int) -> int:
    """The shard of a function: the same at every program."""
    return int.from_bytes(blake2b(function.encode(), digest_size=8, person=b"shard").digest()) % shards


@dataclass(frozen=True, slots=True)
class Assignment:
    """Copies of each shard. Of two assignments the one with the higher epoch holds."""

    epoch: int = 0
    shards: tuple[tuple[Copy, ...], ...] = ()

    def shard_of(self, function: str) -> int:
        """The number of the function's shard; there must be one."""
        return shard_of(function, len(self.shards))

    def copies_for(self, shard: int, watcher: str, zone: str = "") -> tuple[Copy, ...]:
        """A shard's copies in the order in which this watcher tries them.

        Weighted rendezvous hashing (Thaler, Ravishankar 1998): watchers are spread over the copies, and the
        loss of one spreads its watchers over those that are left.
        """
        return tuple(sorted(self.shards[shard], key=lambda copy: rank(copy, watcher, zone)))


def rank(copy: Copy, watcher: str, zone: str) -> float:
    """The lowest is tried first: an exponential draw over the copy's weight."""
    text = f"{copy.host} {copy.port} {watcher}".encode()
    draw = (int.from_bytes(blake2b(text, digest_size=8, person=b"copy").digest()) + 1) / (2**64 + 1)
    return -log(draw) / (ZONE_WEIGHT if zone and copy.zone == zone else 1.0)
