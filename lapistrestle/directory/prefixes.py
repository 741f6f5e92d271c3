"""Prefixes of a function's order, and differences between them."""

from collections.abc import Sequence
from dataclasses import dataclass

from lapistrestle.wire.directory import PlacedInstance, PrefixChange


@dataclass(frozen=True, slots=True)
class Prefix:
    """The first instances of a function's order; `complete`: there are no further ones."""

    names: tuple[str, ...] = ()
    complete: bool = False


@dataclass(frozen=True, slots=True)
class Difference:
    """A change from one prefix to another: names are removed, then others inserted by rising position."""

    removed: tuple[str, ...]
    inserted: tuple[tuple[int, str], ...]

    @property
    def size(self) -> int:
        """Number of names removed or inserted."""
        return len(self.removed) + len(self.inserted)


class RevisionGapError(Exception):
    """A change doesn't fit the prefix that it is for: an earlier change was lost.

    `expected` and `found` are numbers of names, or a length and a position, as `problem` says.
    """

    def __init__(self, problem: str, expected: int, found: int) -> None:
        super().__init__(problem)
        self.expected = expected
        self.found = found


def difference(before: Sequence[str], after: Sequence[str]) -> Difference:
    """The difference between two orders of names; a name that moves is removed and inserted again."""
    wanted = set(after)
    remaining = [name for name in before if name in wanted]
    unplaced = set(remaining)  # of `remaining`: those not reached yet, and not moved
    removed = [name for name in before if name not in wanted]
    inserted = list[tuple[int, str]]()
    at = 0
    for position, name in enumerate(after):
        while at < len(remaining) and remaining[at] not in unplaced:
            at += 1
        if (
            name in unplaced
            and at + 1 < len(remaining)
            and remaining[at] != name
            and remaining[at + 1] == name
        ):
            unplaced.discard(remaining[at])
            removed.append(remaining[at])
            at += 1
        if at < len(remaining) and remaining[at] == name:
            at += 1
        else:
            if name in unplaced:
                removed.append(name)
            inserted.append((position, name))
        unplaced.discard(name)
    return Difference(tuple(removed), tuple(inserted))


def change_message(watch: int, change: Difference, after: Prefix) -> PrefixChange:
    """The wire message for a change of one watch's prefix."""
    inserted = [PlacedInstance(position, name) for position, name in change.inserted]
    return PrefixChange(watch, len(after.names), list(change.removed), inserted, after.complete)


def apply_change(names: Sequence[str], change: PrefixChange) -> tuple[str, ...]:
    """The names after a change. Raises `RevisionGapError` if the result can't be the sender's prefix."""
    removed = set(change.removed)
    after = [name for name in names if name not in removed]
    left = len(names) - len(after)
    if left != len(removed):
        problem = f"{len(removed)} of {len(names)} names should be removed, {left} were"
        raise RevisionGapError(problem, len(removed), left)
    for placed in change.inserted:
        if placed.position > len(after):
            problem = f"position {placed.position} is beyond the {len(after)} names of the prefix"
            raise RevisionGapError(problem, len(after), placed.position)
        after.insert(placed.position, placed.name)
    different = len(set(after))
    if len(after) != change.length or different != len(after):
        problem = f"{len(after)} names, {different} of them distinct, instead of {change.length}"
        raise RevisionGapError(problem, change.length, different)
    return tuple(after)
