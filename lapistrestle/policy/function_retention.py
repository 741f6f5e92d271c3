"""Which functions are retained: what is learned of them is bounded by the memory of the process.

Clients may name a new function in every request, so the functions are not bounded by anything else. Those in
use are always retained. The others are evicted in the order of `RetentionClass`, and within a class the one
that was unused for longest first. What an eviction loses is learned again: the order is computed from names,
and the home of a function still has its copy.
"""

from collections import OrderedDict
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Function
from lapistrestle.policy.ports import Host
from lapistrestle.policy.preloading import Preloading
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import RetentionClass
from lapistrestle.ticks import SECOND

TARGET_FRACTION: Final = 1 / 2  # of the memory limit that the whole process may use
# Fraction of the memory limit that functions may use even if the rest of the process exceeds the target.
GUARANTEED_FRACTION: Final = 1 / 16
MAX_WITHOUT_REPLICAS: Final = 1_000  # functions without replicas that are retained
LOG_INTERVAL: Final = 10 * SECOND  # minimum ticks between two log lines about evictions

# Estimated bytes; the measured memory of the process corrects them (`FunctionRetention.on_memory`).
FUNCTION_BYTES: Final = 1_500
REPLICA_BYTES: Final = 800
ORDER_ENTRY_BYTES: Final = 16  # of a sorted order: a reference and a score


class FunctionRetention:
    """The functions that are retained, with their estimated size."""

    def __init__(self, host: Host, settings: Settings, clock: Clock, preloading: Preloading) -> None:
        self.host = host
        self.limit = settings.memory_limit
        self.clock = clock
        self.preloading = preloading
        self.allowed_bytes = GUARANTEED_FRACTION * self.limit
        self.held_bytes = 0
        self.unused = {group: OrderedDict[Function, None]() for group in RetentionClass}
        self.evicted = 0  # since the last log line
        self.next_log_at = clock.now

    def update(self, function: Function) -> None:
        """Update the size and the class of a function after an event, and evict others if needed."""
        if not self.limit:
            return
        self.resize(function)
        self.classify(function)
        self.evict_excess()

    def resize(self, function: Function) -> None:
        """Update the estimated size of a function."""
        size = (
            FUNCTION_BYTES
            + REPLICA_BYTES * len(function.replicas)
            + ORDER_ENTRY_BYTES * len(function.sorted_order)
        )
        self.held_bytes += size - function.retained_bytes
        function.retained_bytes = size

    def classify(self, function: Function) -> None:
        """Move the function to the end of its class; one in use has none."""
        if function.retention_class is not None:
            self.unused[function.retention_class].pop(function, None)
        function.retention_class = None if function.is_in_use else class_of(function)
        if function.retention_class is not None:
            self.unused[function.retention_class][function] = None

    def evict_excess(self) -> None:
        """Evict functions until those that remain fit, or all that remain are in use."""
        without_replicas = self.unused[RetentionClass.WITHOUT_REPLICAS]
        while len(without_replicas) > MAX_WITHOUT_REPLICAS:
            self.evict(next(iter(without_replicas)))
        while self.held_bytes > self.allowed_bytes:
            victim = self.next_victim()
            if victim is None:
                return
            self.evict(victim)
            self.evicted += 1

    def next_victim(self) -> Function | None:
        """Return the function to be evicted next; None if all are in use."""
        return next((next(iter(functions)) for functions in self.unused.values() if functions), None)

    def evict(self, function: Function) -> None:
        """Discard all that was learned of a function that is not in use."""
        assert function.retention_class is not None
        del self.unused[function.retention_class][function]
        function.retention_class = None
        self.held_bytes -= function.retained_bytes
        function.retained_bytes = 0
        for worker in list(function.replicas):
            function.drop(worker)
        function.drop_order()
        self.preloading.stop_maintenance(function)
        self.host.forget_function(function)

    def on_memory(self, used: int) -> None:
        """The process uses so many bytes: adapt what functions may use, to keep the whole at the target."""
        if not self.limit:
            return
        others = used - self.held_bytes
        self.allowed_bytes = max(GUARANTEED_FRACTION * self.limit, TARGET_FRACTION * self.limit - others)
        self.evict_excess()
        if self.evicted and self.clock.now >= self.next_log_at:
            self.log_evictions(used)

    def log_evictions(self, used: int) -> None:
        """Log the evictions since the last log line."""
        self.host.log(
            f"functions evicted: {self.evicted}, held {self.held_bytes} of {self.allowed_bytes:.0f} bytes, "
            f"process {used} of {self.limit}"
        )
        self.evicted = 0
        self.next_log_at = self.clock.now + LOG_INTERVAL


def class_of(function: Function) -> RetentionClass:
    """Return the class of a function that is not in use."""
    if not function.replicas:
        return RetentionClass.WITHOUT_REPLICAS
    if not any(replica.copies for replica in function.replicas.values()):
        return RetentionClass.NOT_LOADED
    if function.requests <= 1:
        return RetentionClass.REQUESTED_ONCE
    return RetentionClass.REQUESTED_AGAIN
