"""Cache of the functions that a dispatcher calls, their prefixes, and the instances in these."""

from collections import OrderedDict
from collections.abc import Callable

from lapistrestle.directory.cached_instances import CachedInstances
from lapistrestle.directory.connection_state import CachedFunction
from lapistrestle.directory.effects import (
    InstancesChanged,
    InstancesEvicted,
    InstancesGone,
    PrefixReady,
    WatcherEffect,
)
from lapistrestle.directory.lookups import Lookups
from lapistrestle.directory.revisions import Revisions
from lapistrestle.wire.directory import Revision


class PrefixCache:
    """Cached functions and instances, and the notifications of the edge about them."""

    def __init__(self, most_retired: int, lookups: Lookups, emit: Callable[[WatcherEffect], None]) -> None:
        """`most_retired`: instances remembered after they left all prefixes."""
        self.lookups = lookups
        self.emit = emit
        self.revisions = Revisions()
        self.instances = CachedInstances(self.revisions, most_retired)
        self.functions = OrderedDict[str, CachedFunction]()  # least recently used first

    def record_use(self, function: CachedFunction, now: int) -> None:
        """Record that a call uses this function, which makes it the most recently used one."""
        self.functions.move_to_end(function.name)
        function.last_used_at = now

    def replace_prefix(
        self, function: CachedFunction, names: tuple[str, ...], complete: bool, revision: Revision, now: int
    ) -> None:
        """Set a function's prefix to the one that a holder sent at this revision."""
        before = function.names
        function.names = names
        function.complete = complete
        self.instances.replace_prefix(function.name, before, names, revision, now)
        self.instances.retire(before)
        self.instances.changes.functions[function.name] = None

    def remove(self, function: CachedFunction, now: int) -> None:
        """Remove a function's prefix; instances that are in no other prefix are retired."""
        self.instances.replace_prefix(function.name, function.names, (), Revision(), now)
        self.instances.retire(function.names)

    def publish(self) -> None:
        """Notify the edge of changes, of instances before the prefixes that contain them."""
        changes = self.instances.take_changes()
        if changes.changed:
            self.emit(InstancesChanged(tuple(changes.changed.values())))
        if changes.gone:
            self.emit(InstancesGone(tuple(changes.gone)))
        for name in changes.functions:
            function = self.functions.get(name)
            if function is not None and function.has_prefix:
                self.publish_prefix(function)
        if changes.evicted:
            self.emit(InstancesEvicted(tuple(changes.evicted)))

    def publish_prefix(self, function: CachedFunction) -> None:
        """Notify the edge of a prefix, if a lookup waits for it or it differs from the last one sent."""
        names = self.instances.names_not_gone(function.names)
        waited = self.lookups.finish(function)
        if not waited and (names, function.complete) == (function.published, function.published_complete):
            return
        function.published = names
        function.published_complete = function.complete
        self.emit(PrefixReady(function.name, names, function.complete))
