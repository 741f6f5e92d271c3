"""Passes the endpoint list to the module, and drops removed workers from the registry afterwards."""

from collections.abc import Sequence

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.registry import ObjectRegistry
from lapistrestle.hosting.tasks import WorkerTasks
from lapistrestle.policy.entities import Worker
from lapistrestle.policy.types import EndpointState, WorkerInfo


class EndpointUpdates:
    """The entries that the module may not have been told of yet, and the removed workers that are kept.

    The cost of an update is proportional to its entries and to the removed workers that are kept.
    """

    def __init__(
        self, context: HostContext, events: EventQueue, registry: ObjectRegistry, tasks: WorkerTasks
    ) -> None:
        self.context = context
        self.events = events
        self.registry = registry
        self.tasks = tasks
        self.removed: dict[str, None] = {}  # no longer listed, but perhaps in the registry
        self.undelivered: set[str] = set()  # listed, but perhaps not yet delivered to the module

    def received(self, entries: Sequence[WorkerInfo], is_snapshot: bool) -> None:
        """Entries of the list were received; with `is_snapshot`, `entries` is the complete list."""
        earlier_are_delivered = not self.events.queued_endpoints
        if earlier_are_delivered:
            self.undelivered.clear()
        self.undelivered.update(e.name for e in entries if e.endpoint_state is not EndpointState.REMOVED)
        self.events.post_endpoints([(self.registry.worker(e.name), e) for e in entries], is_snapshot)
        is_delivered = not self.events.queued_endpoints
        if earlier_are_delivered and not is_delivered:
            self.forget_removed()  # by earlier updates
        if is_snapshot:
            self.removed = dict.fromkeys(self.registry.workers)
        self.removed.update((e.name, None) for e in entries if e.endpoint_state is EndpointState.REMOVED)
        if is_delivered:
            self.forget_removed()

    def forget_removed(self) -> None:
        """Drop removed workers from the registry, so that a long-running process does not keep every worker
        that ever served. Called once the module has been told of all of them.
        """
        if not self.removed:
            return
        workers = self.registry.workers
        removed = [
            workers[name]
            for name in self.removed
            if name in workers and workers[name].endpoint_state is EndpointState.REMOVED
        ]
        kept = self.still_needed(removed)
        for worker in removed:
            if worker.name not in kept:
                del workers[worker.name]
        self.removed = kept

    def still_needed(self, removed: Sequence[Worker]) -> dict[str, None]:
        """Return the names of removed workers that have attempts or tasks in flight; that are listed again,
        but the module has not been told; or that were sent requests within their slow start window, as after
        a return they would be sent more than they can take.
        """
        with_tasks = {task.worker for task in self.tasks.open.values()}
        since = self.context.clock() - self.context.settings.overload_window
        return {
            worker.name: None
            for worker in removed
            if worker.in_flight
            or worker in with_tasks
            or worker.name in self.undelivered
            or worker.weight_sent_since(since)
        }
