"""What the directory tells of instances, handed on to the module and to the connections to workers.

Times are whole tenths of a millisecond on the edge's clock.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from lapistrestle.directory.region_estimate import RegionEstimate
from lapistrestle.edge.following import Address, Known
from lapistrestle.policy.entities import Function
from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.wire.messages import RosterEntry


class InstanceHandOver:
    """Keeps the module's list of workers to the instances in prefixes of functions that are called."""

    def __init__(self, edge: Any, region: RegionEstimate) -> None:
        self.edge, self.region = edge, region
        self.parted: dict[str, Known] = {}  # in no prefix any more, while they warm up

    def changed(self, entries: Iterable[RosterEntry]) -> None:
        """Instances that are new, or have changed."""
        entries = list(entries)
        for entry in entries:
            parted = self.parted.pop(entry.name, None)
            if parted is not None:  # what the module was told of its start stays as it was reckoned
                self.edge.following.known[entry.name] = parted
        facts, addresses = self.edge.following.note(entries, self.edge.clock())
        self.edge.workers_told(facts, addresses)

    def gone(self, names: Iterable[str]) -> None:
        """Rule 3: nothing new goes there. What is out may still end."""
        facts = list[WorkerInfo]()
        for name in names:
            known = self.edge.following.known.pop(name, None) or self.parted.pop(name, None)
            if known is not None:
                facts.append(replace(self.edge.following.facts(known), endpoint_state=EndpointState.REMOVED))
        self.tell_left(facts)

    def forgotten(self, names: Iterable[str]) -> None:
        """No prefix names these any more, and no drain of theirs would be heard of: nothing goes there.

        One that warms up is kept in the module, where what it was sent counts against its budget also when
        it is met again (rule 4).
        """
        facts = list[WorkerInfo]()
        for name in names:
            known = self.edge.following.known.pop(name, None)
            if known is None:
                continue
            warm_at = (known.booted or -self.region.ramp_time) + self.region.ramp_time
            left = warm_at - self.edge.clock() if self.region.ramp_time and known.booted is not None else 0
            listing = EndpointState.DRAINING if left > 0 else EndpointState.REMOVED
            facts.append(replace(self.edge.following.facts(known), endpoint_state=listing))
            if left > 0:
                self.parted[name] = known
                self.edge.after(left, self.warmed_up, known)
        self.tell_left(facts)

    def warmed_up(self, known: Known) -> None:
        """Nothing that it was sent counts any more."""
        if self.parted.get(known.entry.name) is known:
            self.gone([known.entry.name])

    def tell_left(self, facts: list[WorkerInfo]) -> None:
        """Tell the module, and end the connections."""
        if facts:
            left: list[Address] = [(told.name, 0, "") for told in facts]
            self.edge.workers_told(facts, left)

    def rank(self, function: Function, names: tuple[str, ...]) -> None:
        """Tell the module the function's prefix, as far as its workers are known."""
        self.edge.host.prefix_received(
            function, [name for name in names if name in self.edge.following.known]
        )
