"""Static assignment of functions to shards and of shards to replicas, versioned by an epoch."""

from dataclasses import dataclass
from hashlib import blake2b
from math import log

ZONE_WEIGHT = 2.0  # weight of a replica in the watcher's own zone; replicas in other zones have weight 1


@dataclass(frozen=True, slots=True)
class ShardReplica:
    """A replica of a shard: the address of a holder that serves it."""

    host: str
    port: int
    zone: str = ""


def shard_of(function: str, shards: int) -> int:
    """The shard number of a function: a hash, the same in every process."""
    return int.from_bytes(blake2b(function.encode(), digest_size=8, person=b"shard").digest()) % shards


@dataclass(frozen=True, slots=True)
class Assignment:
    """The replicas of each shard. Of two assignments the one with the higher epoch is valid."""

    epoch: int = 0
    shards: tuple[tuple[ShardReplica, ...], ...] = ()

    def shard_of(self, function: str) -> int:
        """The number of the function's shard; there must be at least one shard."""
        return shard_of(function, len(self.shards))

    def replicas_for(self, shard: int, watcher: str, zone: str = "") -> tuple[ShardReplica, ...]:
        """A shard's replicas in the order in which this watcher tries them.

        Weighted rendezvous hashing (Thaler, Ravishankar 1998): watchers are spread over the replicas,
        and when a replica fails, its watchers are spread over the remaining ones.
        """
        return tuple(sorted(self.shards[shard], key=lambda replica: rank(replica, watcher, zone)))


def rank(replica: ShardReplica, watcher: str, zone: str) -> float:
    """Sort key, the lowest is tried first: an exponential variate divided by the replica's weight."""
    text = f"{replica.host} {replica.port} {watcher}".encode()
    draw = (int.from_bytes(blake2b(text, digest_size=8, person=b"copy").digest()) + 1) / (2**64 + 1)
    return -log(draw) / (ZONE_WEIGHT if zone and replica.zone == zone else 1.0)
