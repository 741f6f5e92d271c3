"""The functions watched at a holder, and which of them a change of an instance affects.

Two indexes keep the cost of a change proportional to the functions that it affects. The first maps an
instance to the functions with a prefix, sent or to be sent, that contains it. The second holds the ring
positions from which the prefixes of watched functions were searched: a new instance takes over arcs of the
ring, and affects the functions with a position in one of these arcs.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from lapistrestle.directory.digests import digest_of
from lapistrestle.directory.instances import Changes, RegionInstances
from lapistrestle.directory.message_sizes import entries_bytes
from lapistrestle.directory.prefixes import Difference, Prefix, difference
from lapistrestle.directory.ring_positions import RingPositions
from lapistrestle.ticks import SECOND
from lapistrestle.wire.directory import LONGEST_PREFIX, Instance

MAX_MEMBERS = 4 * LONGEST_PREFIX  # indexed instances of a function above which unsent ones are pruned
MAX_INSTANCES_PER_SERVING = 4  # instances in a prefix per serving one requested, if many drain
ANSWER_LIFETIME = 60 * SECOND  # for which an encoded answer is shared

EMPTY_PREFIX = Prefix()


@dataclass(eq=False, slots=True)
class SessionWatch:
    """One watcher's watch of a function."""

    session: int
    id: int
    shard: int
    epoch: int
    count: int
    sent_prefix: Prefix = EMPTY_PREFIX


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to all watches of a prefix, shared until an instance in it changes."""

    entries: list[Instance]
    complete: bool
    size: int  # estimated bytes
    digest: str
    at: int  # when the entries' `up_for` was correct


@dataclass(eq=False)
class WatchedFunction:
    """A function with at least one watch."""

    name: str
    watches: dict[int, SessionWatch] = field(default_factory=dict)  # by session
    counts: Counter[int] = field(default_factory=Counter)  # number of watches by requested count
    prefixes: dict[int, Prefix] = field(default_factory=dict)  # by count
    answers: dict[int, Answer] = field(default_factory=dict)  # by count, for the current prefixes
    positions: frozenset[int] = frozenset()  # from which the ring was searched for the prefixes
    members: set[str] = field(default_factory=set)  # instances indexed for this function
    length: int = 0  # of the longest prefix
    outdated_sessions: set[int] = field(default_factory=set)  # not sent the latest prefix yet
    differences: dict[tuple[Prefix, Prefix], Difference] = field(default_factory=dict)

    def difference(self, before: Prefix, after: Prefix) -> Difference:
        """The difference of two prefixes, computed once for all watchers that need the same."""
        step = before, after
        if step not in self.differences:
            self.differences[step] = difference(before.names, after.names)
        return self.differences[step]


class WatchedFunctions:
    """All watched functions of a holder."""

    def __init__(self, instances: RegionInstances) -> None:
        self.instances = instances
        self.functions = dict[str, WatchedFunction]()
        self.functions_by_instance = dict[str, set[str]]()  # names of functions by instance
        self.positions = RingPositions()
        self.complete = set[str]()  # functions with a complete prefix, which any new instance enters
        self.by_length = dict[int, set[str]]()  # functions by the length of their longest prefix
        self.recomputation_count = 0  # prefixes computed so far, for tests of the cost

    # watches

    def watch(self, function: str, watch: SessionWatch) -> Prefix:
        """Start a watch, replacing the session's earlier one. Returns the prefix to be sent."""
        watched = self.functions.get(function)
        if watched is None:
            watched = self.functions[function] = WatchedFunction(function)
        before = watched.watches.get(watch.session)
        watched.counts[watch.count] += 1
        if before is not None:
            self.release_count(watched, before.count)
        watched.watches[watch.session] = watch
        fresh = watch.count not in watched.prefixes
        if fresh:
            self.recompute(watched)
        watch.sent_prefix = watched.prefixes[watch.count]
        if fresh or before is not None:
            self.mark_current(watched, watch.session)
        return watch.sent_prefix

    def answer(self, function: str, count: int, now: int) -> Answer:
        """The answer to a watch of this count, shared by all watchers."""
        watched = self.functions[function]
        answer = watched.answers.get(count)
        if answer is None or now - answer.at > ANSWER_LIFETIME:
            prefix = watched.prefixes[count]
            entries = [self.instances.known[name].entry_at(now) for name in prefix.names]
            digest = digest_of(entries, prefix.complete)
            answer = Answer(entries, prefix.complete, entries_bytes(entries), digest, now)
            watched.answers[count] = answer
        return answer

    def unwatch(self, function: str, session: int) -> None:
        """End a session's watch of a function; an unknown one is ignored."""
        watched = self.functions.get(function)
        watch = watched.watches.pop(session, None) if watched is not None else None
        if watched is None or watch is None:
            return
        self.release_count(watched, watch.count)
        if watched.watches:
            self.mark_current(watched, session)
        else:
            self.remove_function(watched)

    def release_count(self, watched: WatchedFunction, count: int) -> None:
        """Count one watch of this count less; the last one removes the prefix."""
        watched.counts[count] -= 1
        if not watched.counts[count]:
            del watched.counts[count]
            watched.prefixes.pop(count, None)
            watched.answers.pop(count, None)

    def remove_function(self, watched: WatchedFunction) -> None:
        """Remove a function that has no watches."""
        self.index_positions(watched, frozenset())
        self.index_members(watched, set())
        self.complete.discard(watched.name)
        self.index_length(watched, 0)
        del self.functions[watched.name]

    def mark_current(self, watched: WatchedFunction, session: int) -> None:
        """Record that a session was sent the latest prefix or ended its watch."""
        watched.outdated_sessions.discard(session)
        if not watched.outdated_sessions:
            watched.differences.clear()
            self.index_members(
                watched, {name for prefix in watched.prefixes.values() for name in prefix.names}
            )

    # instances

    def affected_functions(self, changes: Changes) -> set[str]:
        """Functions whose prefixes may have changed. The ring must have been updated already."""
        functions = set[str]()
        for name in (*changes.removed, *changes.urgent, *changes.other, *changes.added):
            functions |= self.functions_by_instance.get(name, set())
        if changes.removed:  # a prefix may have become the complete order without any change of its own
            functions |= self.by_length.get(len(self.instances.ring), set())
        if not changes.added:
            return functions
        if len(changes.added) > len(self.functions):
            return set(self.functions)
        functions |= self.complete
        for name in changes.added:
            for arc in self.instances.ring.arcs(name):
                functions.update(self.positions.owners_within(arc.first, arc.last))
        return functions

    def recompute_changed(self, functions: Iterable[str]) -> list[tuple[WatchedFunction, SessionWatch]]:
        """Recompute these functions' prefixes. Returns the watches that were sent a different prefix."""
        outdated = list[tuple[WatchedFunction, SessionWatch]]()
        for name in sorted(functions):
            watched = self.functions[name]
            self.recompute(watched)
            for watch in watched.watches.values():
                if watch.sent_prefix != watched.prefixes[watch.count]:
                    watched.outdated_sessions.add(watch.session)
                    outdated.append((watched, watch))
                elif watch.session in watched.outdated_sessions:
                    watched.outdated_sessions.discard(watch.session)  # changed back to the prefix sent
            if not watched.outdated_sessions:
                self.mark_current(watched, -1)
        return outdated

    def watches_sent(self, name: str) -> list[SessionWatch]:
        """Watches that were sent this instance."""
        functions = sorted(self.functions_by_instance.get(name, ()))
        watches = (watch for function in functions for watch in self.functions[function].watches.values())
        return [watch for watch in watches if name in watch.sent_prefix.names]

    def recompute(self, watched: WatchedFunction) -> None:
        """Compute the prefixes from the order, walked as far as the largest count requires."""
        self.recomputation_count += 1
        pending_counts = sorted(watched.counts)
        names, positions, serving = list[str](), list[int](), 0
        watched.prefixes = {}
        watched.answers = {}
        for place in self.instances.ring.places(watched.name):
            names.append(place.name)
            positions.extend(place.searched_from)
            serving += self.instances.serves(place.name)
            while pending_counts and (
                serving >= pending_counts[0] or len(names) >= max_prefix_length(pending_counts[0])
            ):
                complete = len(names) == len(self.instances.ring)
                watched.prefixes[pending_counts.pop(0)] = Prefix(tuple(names), complete)
            if not pending_counts:
                break
        for count in pending_counts:
            watched.prefixes[count] = Prefix(tuple(names), True)
        complete = len(names) == len(self.instances.ring)
        (self.complete.add if complete else self.complete.discard)(watched.name)
        self.index_positions(watched, frozenset(positions))
        self.index_length(watched, len(names))
        self.index_members(watched, watched.members | set(names))
        if len(watched.members) > MAX_MEMBERS:
            sent_names = {name for watch in watched.watches.values() for name in watch.sent_prefix.names}
            self.index_members(watched, sent_names | set(names))

    def index_length(self, watched: WatchedFunction, length: int) -> None:
        """Update the index by length of the longest prefix."""
        if length == watched.length:
            return
        functions = self.by_length.get(watched.length, set())
        functions.discard(watched.name)
        if not functions:
            self.by_length.pop(watched.length, None)
        if length:
            self.by_length.setdefault(length, set()).add(watched.name)
        watched.length = length

    def index_positions(self, watched: WatchedFunction, positions: frozenset[int]) -> None:
        """Update the index of ring positions from which prefixes were searched."""
        for position in watched.positions - positions:
            self.positions.discard(position, watched.name)
        for position in positions - watched.positions:
            self.positions.add(position, watched.name)
        watched.positions = positions

    def index_members(self, watched: WatchedFunction, members: set[str]) -> None:
        """Update the index from instances to functions."""
        for name in watched.members - members:
            functions = self.functions_by_instance[name]
            functions.discard(watched.name)
            if not functions:
                del self.functions_by_instance[name]
        for name in members - watched.members:
            self.functions_by_instance.setdefault(name, set()).add(watched.name)
        watched.members = members


def max_prefix_length(count: int) -> int:
    """The maximum number of instances in a prefix with `count` serving ones."""
    return min(MAX_INSTANCES_PER_SERVING * count, LONGEST_PREFIX)
