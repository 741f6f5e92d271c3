"""The functions that a dispatcher calls, with their prefixes, and the instances in these prefixes."""

from collections import OrderedDict
from collections.abc import Callable

from lapistrestle.directory.cached_instances import CachedInstances
from lapistrestle.directory.connection_state import CachedFunction
from lapistrestle.directory.effects import (
    InstancesChanged,
    InstancesForgotten,
    InstancesGone,
    PrefixReady,
    WatcherEffect,
)
from lapistrestle.directory.lookups import Lookups
from lapistrestle.directory.revisions import Revisions
from lapistrestle.wire.directory import Revision


class PrefixCache:
    """What is known of functions and instances, and what of it the edge has been notified of."""

    def __init__(self, most_retired: int, lookups: Lookups, emit: Callable[[WatcherEffect], None]) -> None:
        """`most_retired`: instances remembered after they left all prefixes."""
        self.lookups = lookups
        self.emit = emit
        self.revisions = Revisions()
        self.instances = CachedInstances(self.revisions, most_retired)
        self.functions = OrderedDict[str, CachedFunction]()  # the one used longest ago first

    def record_use(self, function: CachedFunction, now: int) -> None:
        """A call uses this function: it is the last one to be removed as unused."""
        self.functions.move_to_end(function.name)
        function.used_at = now

    def replace_prefix(
        self, function: CachedFunction, names: tuple[str, ...], complete: bool, revision: Revision, now: int
    ) -> None:
        """Set a function's prefix as a holder has sent it at this revision."""
        before = function.names
        function.names = names
        function.complete = complete
        self.instances.replace_prefix(function.name, before, names, revision, now)
        self.instances.retire(before)
        self.instances.event.functions[function.name] = None

    def remove(self, function: CachedFunction, now: int) -> None:
        """Forget a function and its prefix. The edge hears of instances that no prefix has any more."""
        self.instances.replace_prefix(function.name, function.names, (), Revision(), now)
        self.instances.retire(function.names)

    def publish(self) -> None:
        """Notify the edge of what has changed: instances ahead of the prefixes that name them."""
        event = self.instances.take_event()
        if event.changed:
            self.emit(InstancesChanged(tuple(event.changed.values())))
        if event.gone:
            self.emit(InstancesGone(tuple(event.gone)))
        for name in event.functions:
            function = self.functions.get(name)
            if function is not None and function.has_prefix:
                self.publish_prefix(function)
        if event.forgotten:
            self.emit(InstancesForgotten(tuple(event.forgotten)))

    def publish_prefix(self, function: CachedFunction) -> None:
        """Notify the edge of a prefix, if a look-up waits for it or it differs from what the edge has."""
        names = self.instances.usable(function.names)
        waited = self.lookups.finish(function)
        if not waited and (names, function.complete) == (function.published, function.published_complete):
            return
        function.published = names
        function.published_complete = function.complete
        self.emit(PrefixReady(function.name, names, function.complete))
