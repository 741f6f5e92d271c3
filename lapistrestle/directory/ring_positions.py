"""A sorted table of positions on a 64-bit ring, each with an owner.

Positions are hashes and therefore evenly distributed: the ring is divided into equal ranges, one bucket each,
and buckets stay short. A lookup searches one bucket, an insertion shifts the entries of one. The number of
buckets follows the number of positions; splitting all buckets takes one pass for each doubling.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterator

RING_BITS = 64
RING = 1 << RING_BITS
MIN_BUCKET_BITS = 4
MAX_MEAN_BUCKET_SIZE = 64  # mean positions per bucket above which all buckets are split
MIN_MEAN_BUCKET_SIZE = 8  # mean below which neighbouring buckets are merged


class Bucket:
    """The positions of one range in rising order, equal ones by owner."""

    __slots__ = ("owners", "positions")

    def __init__(self, positions: "array[int] | None" = None, owners: list[str] | None = None) -> None:
        self.positions: array[int] = array("Q") if positions is None else positions
        self.owners: list[str] = [] if owners is None else owners

    def index_of(self, position: int, owner: str) -> int:
        """The index of this pair, or the one to insert it at."""
        i = bisect_left(self.positions, position)
        while i < len(self.owners) and self.positions[i] == position and self.owners[i] < owner:
            i += 1
        return i

    def split_at(self, at: int) -> tuple["Bucket", "Bucket"]:
        """Two buckets: the pairs below position `at`, and those from it on."""
        i = bisect_left(self.positions, at)
        low = Bucket(self.positions[:i], self.owners[:i])
        return low, Bucket(self.positions[i:], self.owners[i:])

    def merged(self, other: "Bucket") -> "Bucket":
        """The pairs of this bucket followed by those of its successor."""
        return Bucket(self.positions + other.positions, self.owners + other.owners)


class RingPositions:
    """A set of pairs of position and owner, in the order of the ring."""

    def __init__(self) -> None:
        self.bits = MIN_BUCKET_BITS
        self.buckets = [Bucket() for _ in range(1 << self.bits)]
        self.count = 0
        self.steps = 0  # entries and empty buckets visited since the start, for tests of the cost

    def __len__(self) -> int:
        return self.count

    def bucket_of(self, position: int) -> Bucket:
        """The bucket whose range contains a position."""
        return self.buckets[position >> (RING_BITS - self.bits)]

    def add(self, position: int, owner: str) -> None:
        """Add a pair; one that is there already is ignored."""
        bucket = self.bucket_of(position)
        i = bucket.index_of(position, owner)
        if i < len(bucket.owners) and bucket.positions[i] == position and bucket.owners[i] == owner:
            return
        bucket.positions.insert(i, position)
        bucket.owners.insert(i, owner)
        self.count += 1
        if self.count > MAX_MEAN_BUCKET_SIZE * len(self.buckets):
            self.split_buckets()

    def discard(self, position: int, owner: str) -> None:
        """Remove a pair; a missing one is ignored."""
        bucket = self.bucket_of(position)
        i = bucket.index_of(position, owner)
        if i >= len(bucket.owners) or bucket.positions[i] != position or bucket.owners[i] != owner:
            return
        del bucket.positions[i], bucket.owners[i]
        self.count -= 1
        if self.bits > MIN_BUCKET_BITS and self.count < MIN_MEAN_BUCKET_SIZE * len(self.buckets):
            self.merge_buckets()

    def split_buckets(self) -> None:
        """Split each bucket in two."""
        self.bits += 1
        width = 1 << (RING_BITS - self.bits)
        old = self.buckets
        self.buckets = []
        for i, bucket in enumerate(old):
            self.buckets.extend(bucket.split_at((2 * i + 1) * width))

    def merge_buckets(self) -> None:
        """Merge each two neighbouring buckets."""
        self.bits -= 1
        low, high = self.buckets[::2], self.buckets[1::2]
        self.buckets = [one.merged(other) for one, other in zip(low, high, strict=True)]

    def clockwise(self, position: int) -> Iterator[tuple[int, str]]:
        """All pairs from this position on, clockwise, once around the ring."""
        first = position >> (RING_BITS - self.bits)
        start = bisect_left(self.buckets[first].positions, position)
        yield from self.bucket_entries(first, start, None)
        for i in range(first + 1, first + len(self.buckets)):
            yield from self.bucket_entries(i % len(self.buckets), 0, None)
        yield from self.bucket_entries(first, 0, start)

    def bucket_entries(self, number: int, start: int, end: int | None) -> Iterator[tuple[int, str]]:
        """The pairs of one bucket with index in [`start`, `end`)."""
        bucket = self.buckets[number]
        self.steps += 1
        for i in range(start, len(bucket.owners) if end is None else end):
            self.steps += 1
            yield bucket.positions[i], bucket.owners[i]

    def predecessor(self, position: int, owner: str) -> int:
        """The position of the pair before this one, which must be there; its own if there is no other."""
        number = position >> (RING_BITS - self.bits)
        i = self.buckets[number].index_of(position, owner)
        while i == 0:
            number = (number - 1) % len(self.buckets)
            i = len(self.buckets[number].owners)
            self.steps += 1
        return self.buckets[number].positions[i - 1]

    def owners_within(self, first: int, last: int) -> Iterator[str]:
        """Owners of the positions from `first` to `last`, both included; the range may wrap around."""
        length = (last - first) % RING
        for position, owner in self.clockwise(first):
            if (position - first) % RING > length:
                return
            yield owner
