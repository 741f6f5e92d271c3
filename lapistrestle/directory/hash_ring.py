"""The order of instances of each function, the same in every process that has the same instances.

Consistent hashing with virtual nodes (Karger et al. 1997): an instance has points on a ring, in proportion to
its size. A function's order results from probing the ring at a pseudo-random sequence of positions seeded by
the function's name; each probe yields the next instance clockwise, duplicates are skipped. A prefix of
`count` instances therefore costs about `count` short searches of the ring, never a scan of all instances.

Adding or removing an instance changes only the orders whose probes hit its points.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
from struct import Struct

from lapistrestle.directory.ring_positions import RingPositions

POINTS_PER_UNIT_SIZE = 16  # virtual nodes of an instance of size 1
MAX_POINTS = 4_096  # per instance, whatever its size
PROBES_PER_INSTANCE = 8  # probes that may yield duplicates; then the ring is scanned from the last probe on
DIGEST = Struct("<8Q")  # eight 64-bit positions per digest, in the same byte order on every machine
INSTANCE, FUNCTION = b"instance", b"function"  # BLAKE2b personalisation: separates the two kinds of hashes


def points_for(size: float) -> int:
    """The number of points of an instance of this size: at least one."""
    return max(1, min(MAX_POINTS, round(size * POINTS_PER_UNIT_SIZE)))


def draws(name: str, kind: bytes) -> Iterator[int]:
    """The infinite pseudo-random sequence of ring positions of a name."""
    block, encoded = 0, name.encode()
    while True:
        salt = block.to_bytes(8, "big")
        yield from DIGEST.unpack(blake2b(encoded, digest_size=DIGEST.size, person=kind, salt=salt).digest())
        block += 1


@dataclass(frozen=True, slots=True)
class Place:
    """One element of an order.

    `searched_from`: the positions from which the ring was searched since the previous element. A new point
    changes the order up to here only if it lies between one of them and the point found from there.
    """

    name: str
    searched_from: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Arc:
    """An arc of the ring, both ends included; it may wrap around."""

    first: int
    last: int


class InstanceRing:
    """The ring of all instances of a region, and the order of them for each function."""

    def __init__(self) -> None:
        self.points = RingPositions()
        self.point_counts = dict[str, int]()  # points of each instance

    def __len__(self) -> int:
        return len(self.point_counts)

    def __contains__(self, name: str) -> bool:
        return name in self.point_counts

    @property
    def steps(self) -> int:
        """Entries visited since the start, for tests of the cost."""
        return self.points.steps

    def insert(self, name: str, size: float) -> None:
        """Add an instance or change its size: only its own points are added or removed."""
        before, after = self.point_counts.get(name, 0), points_for(size)
        self.point_counts[name] = after
        for position in islice(draws(name, INSTANCE), before, after):
            self.points.add(position, name)
        for position in islice(draws(name, INSTANCE), after, before):
            self.points.discard(position, name)

    def remove(self, name: str) -> None:
        """Remove an instance; a missing one is ignored."""
        for position in islice(draws(name, INSTANCE), self.point_counts.pop(name, 0)):
            self.points.discard(position, name)

    def arcs(self, name: str) -> Iterator[Arc]:
        """The arcs that an instance took over from its successors on the ring when it was added."""
        for position in islice(draws(name, INSTANCE), self.point_counts.get(name, 0)):
            yield Arc(self.points.predecessor(position, name), position)

    def places(self, function: str) -> Iterator[Place]:
        """A function's order, computed lazily."""
        seen = set[str]()
        probes = draws(function, FUNCTION)
        while len(seen) < len(self.point_counts):
            place = self.next_instance(probes, seen)
            seen.add(place.name)
            yield place

    def next_instance(self, probes: Iterator[int], seen: set[str]) -> Place:
        """The next instance that is not in `seen`. Raises `LookupError` if all are."""
        searched_from = list[int]()
        for probe in islice(probes, PROBES_PER_INSTANCE - 1):
            searched_from.append(probe)
            name = next(self.points.clockwise(probe))[1]
            if name not in seen:
                return Place(name, tuple(searched_from))
        last = next(probes)
        searched_from.append(last)
        for position, name in self.points.clockwise(last):
            if name not in seen:
                return Place(name, tuple(searched_from))
            searched_from.append(position)
        raise LookupError("all instances of the ring have been seen")

    def prefix(self, function: str, count: int) -> list[str]:
        """The first `count` instances of a function's order, or all if there are fewer."""
        return [place.name for place in islice(self.places(function), count)]
