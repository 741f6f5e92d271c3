"""The one order of instances that each function has, the same at every program that knows the instances.

Consistent hashing with virtual points (Karger et al. 1997): an instance has points on a ring, as many as its
size asks for, and a function's order is made by probing the ring at places that its name draws, one after
the other; each probe yields the next instance clockwise. An instance met again is passed over. So a prefix of
`count` costs about `count` searches of the ring, each of them short, and never a walk over all instances.

An instance that comes or goes changes orders only where its own points are hit.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
from struct import Struct

from lapistrestle.directory.ring_positions import RingPositions

POINTS_PER_SIZE = 16  # of an instance of size 1
MOST_POINTS = 4_096  # of one instance, whatever its size
PROBES_PER_PLACE = 8  # may meet instances met before; then the ring is walked on from the last of them
DIGEST = Struct("<8Q")  # the numbers in one digest, the same on every machine
INSTANCE, FUNCTION = b"instance", b"function"  # keep the two kinds of draws apart


def points_for(size: float) -> int:
    """How many points an instance of this size has: at least one."""
    return max(1, min(MOST_POINTS, round(size * POINTS_PER_SIZE)))


def draws(name: str, kind: bytes) -> Iterator[int]:
    """The endless sequence of positions that a name draws on the ring."""
    block, encoded = 0, name.encode()
    while True:
        salt = block.to_bytes(8, "big")
        yield from DIGEST.unpack(blake2b(encoded, digest_size=DIGEST.size, person=kind, salt=salt).digest())
        block += 1


@dataclass(frozen=True, slots=True)
class Place:
    """One place of an order.

    `looked_from`: the positions from which the ring was searched since the place before. A new point changes
    the order up to here only if it lies between one of them and the point that was found from it.
    """

    name: str
    looked_from: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Arc:
    """A stretch of the ring, both ends included, that may pass the ring's end."""

    first: int
    last: int


class InstanceRing:
    """All instances of a region, and the order in which each function uses them."""

    def __init__(self) -> None:
        self.points = RingPositions()
        self.point_counts = dict[str, int]()  # how many points each instance has

    def __len__(self) -> int:
        return len(self.point_counts)

    def __contains__(self, name: str) -> bool:
        return name in self.point_counts

    @property
    def steps(self) -> int:
        """Entries looked at since the start, for tests of the cost."""
        return self.points.steps

    def insert(self, name: str, size: float) -> None:
        """Add an instance, or give one another size: points are added or taken, none of the others moves."""
        before, after = self.point_counts.get(name, 0), points_for(size)
        self.point_counts[name] = after
        for position in islice(draws(name, INSTANCE), before, after):
            self.points.add(position, name)
        for position in islice(draws(name, INSTANCE), after, before):
            self.points.discard(position, name)

    def remove(self, name: str) -> None:
        """Take an instance out; one that is not there does no harm."""
        for position in islice(draws(name, INSTANCE), self.point_counts.pop(name, 0)):
            self.points.discard(position, name)

    def arcs(self, name: str) -> Iterator[Arc]:
        """The stretches of the ring that an instance has taken from those behind its points."""
        for position in islice(draws(name, INSTANCE), self.point_counts.get(name, 0)):
            yield Arc(self.points.before(position, name), position)

    def places(self, function: str) -> Iterator[Place]:
        """A function's order, from the first place on, as far as it is asked for."""
        seen = set[str]()
        probes = draws(function, FUNCTION)
        while len(seen) < len(self.point_counts):
            place = self.next_place(probes, seen)
            seen.add(place.name)
            yield place

    def next_place(self, probes: Iterator[int], seen: set[str]) -> Place:
        """The next instance that is not among those seen; there must be one."""
        looked_from = list[int]()
        for probe in islice(probes, PROBES_PER_PLACE - 1):
            looked_from.append(probe)
            name = next(self.points.clockwise(probe))[1]
            if name not in seen:
                return Place(name, tuple(looked_from))
        last = next(probes)
        looked_from.append(last)
        for position, name in self.points.clockwise(last):
            if name not in seen:
                return Place(name, tuple(looked_from))
            looked_from.append(position)
        raise LookupError("all instances of the ring have been seen")

    def prefix(self, function: str, count: int) -> list[str]:
        """The first instances of a function's order: `count` of them, or all there are."""
        return [place.name for place in islice(self.places(function), count)]
