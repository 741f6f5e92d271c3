"""Applies the directory's changes of instances to the module's list of workers and to their connections.

Times are ticks of 0.1 ms on the edge's clock.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from lapistrestle.directory.region_estimate import RegionEstimate
from lapistrestle.edge.known_workers import Address, KnownWorker
from lapistrestle.policy.entities import Function
from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.wire.messages import RosterEntry


class InstanceUpdates:
    """Keeps the module's list of workers to the instances in prefixes of the functions that are called."""

    def __init__(self, edge: Any, region: RegionEstimate) -> None:
        self.edge, self.region = edge, region
        self.detached: dict[str, KnownWorker] = {}  # evicted instances that are still in slow start

    def changed(self, entries: Iterable[RosterEntry]) -> None:
        """Apply new or changed instances."""
        entries = list(entries)
        for entry in entries:
            detached = self.detached.pop(entry.name, None)
            # keeps the computed start time: a slightly different one would look like a restart
            if detached is not None:
                self.edge.known_workers.known[entry.name] = detached
        workers, addresses = self.edge.known_workers.update(entries, self.edge.clock())
        self.edge.apply_workers(workers, addresses)

    def removed(self, names: Iterable[str]) -> None:
        """Apply that instances have left. Nothing new is sent to them; calls in flight may still finish."""
        workers = list[WorkerInfo]()
        for name in names:
            known = self.edge.known_workers.known.pop(name, None) or self.detached.pop(name, None)
            if known is not None:
                workers.append(
                    replace(self.edge.known_workers.worker_info(known), endpoint_state=EndpointState.REMOVED)
                )
        self.report_removed(workers)

    def evicted(self, names: Iterable[str]) -> None:
        """Apply that instances are no longer in any prefix.

        The directory would not report their drains, so nothing new is sent to them. An instance in slow start
        stays in the module as draining: calls sent to it must count towards its limit if it is added again.
        """
        workers = list[WorkerInfo]()
        for name in names:
            known = self.edge.known_workers.known.pop(name, None)
            if known is None:
                continue
            slow_start_end = (known.booted or -self.region.ramp_time) + self.region.ramp_time
            remaining = (
                slow_start_end - self.edge.clock()
                if self.region.ramp_time and known.booted is not None
                else 0
            )
            listing = EndpointState.DRAINING if remaining > 0 else EndpointState.REMOVED
            workers.append(replace(self.edge.known_workers.worker_info(known), endpoint_state=listing))
            if remaining > 0:
                self.detached[name] = known
                self.edge.after(remaining, self.slow_start_ended, known)
        self.report_removed(workers)

    def slow_start_ended(self, known: KnownWorker) -> None:
        """The instance's slow start is over: remove it unless it came back."""
        if self.detached.get(known.entry.name) is known:
            self.removed([known.entry.name])

    def report_removed(self, workers: list[WorkerInfo]) -> None:
        """Report removed workers to the module, and close their connections."""
        if workers:
            addresses: list[Address] = [(worker.name, 0, "") for worker in workers]
            self.edge.apply_workers(workers, addresses)

    def set_prefix(self, function: Function, names: tuple[str, ...]) -> None:
        """Pass the function's prefix to the module, limited to known workers."""
        self.edge.host.prefix_received(
            function, [name for name in names if name in self.edge.known_workers.known]
        )
