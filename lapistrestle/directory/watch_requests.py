"""Watch requests to holders: unanswered ones, and those to be retried."""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from lapistrestle.directory.cached_instances import CachedInstances
from lapistrestle.directory.connection_state import CachedFunction, HolderConnection, PendingRequest
from lapistrestle.directory.digests import digest_of
from lapistrestle.directory.effects import Send, WatcherEffect
from lapistrestle.ticks import NEVER
from lapistrestle.wire.directory import Unwatch, Watch


class WatchRequests:
    """Numbers and sends watch requests, matches answers to them, and schedules retries."""

    def __init__(self, instances: CachedInstances, epoch: int, emit: Callable[[WatcherEffect], None]) -> None:
        """`epoch`: of the assignment; sent with each request."""
        self.instances = instances
        self.epoch = epoch
        self.emit = emit
        self.last_watch_id = 0
        self.retries = list[tuple[int, str]]()  # a heap of (time, function), stale unless `retry_at`

    def send(self, connection: HolderConnection, function: CachedFunction, now: int) -> None:
        """Request a snapshot of a function's prefix."""
        self.last_watch_id += 1
        function.pending_watch = self.last_watch_id
        function.retry_at = NEVER
        pending = PendingRequest(function, now)
        connection.pending_requests[self.last_watch_id] = pending
        watch = Watch(
            self.last_watch_id, function.shard, self.epoch, function.name, function.count,
            function.method, self.cached_digest(pending, now), function.has_prefix,
        )  # fmt: skip
        self.emit(Send(connection.number, watch))

    def send_if_connected(
        self, connection: HolderConnection | None, function: CachedFunction, now: int
    ) -> None:
        """Request a snapshot now; without a connection it is requested when one is established."""
        if connection is not None and connection.is_ready and function.pending_watch < 0:
            self.send(connection, function, now)

    def send_all(self, connection: HolderConnection, functions: Iterable[CachedFunction], now: int) -> None:
        """Request a snapshot of each function, those that calls wait for first."""
        for function in sorted(
            functions, key=lambda function: (function.has_prefix, function.lookup_deadline)
        ):
            self.send(connection, function, now)

    def cached_digest(self, pending: PendingRequest, now: int) -> str:
        """The digest of the cached prefix if the function has one but no watch; else empty.

        The entries that it covers are stored with the request, for the answer `Unchanged`.
        """
        function = pending.function
        if not function.has_prefix or function.watch >= 0:
            return ""
        pending.entries = self.instances.current_entries(function.names, now)
        pending.complete = function.complete
        return digest_of(pending.entries, pending.complete) if pending.entries else ""

    def take_request(self, connection: HolderConnection, watch: int) -> PendingRequest | None:
        """Remove and return the request that an answer belongs to; `None` if there is none."""
        pending = connection.pending_requests.pop(watch, None)
        if pending is not None:
            pending.function.pending_watch = -1
        return pending

    def cancel(self, connection: HolderConnection, function: CachedFunction) -> None:
        """Cancel all watches of a function on a connection."""
        for watch in (function.watch, function.pending_watch):
            if watch >= 0:
                self.emit(Send(connection.number, Unwatch(watch)))
        connection.watches.pop(function.watch, None)
        connection.pending_requests.pop(function.pending_watch, None)

    def schedule_retry(self, function: CachedFunction, at: int) -> None:
        """Schedule another request for a function at this time."""
        function.retry_at = at
        heappush(self.retries, (at, function.name))

    def take_due(self, now: int) -> list[tuple[int, str]]:
        """Remove and return the retries that are due, as time and function name, stale ones included."""
        due = list[tuple[int, str]]()
        while self.retries and self.retries[0][0] <= now:
            due.append(heappop(self.retries))
        return due

    def next_due(self) -> int:
        """When the next retry is due; `NEVER` if none is scheduled."""
        return self.retries[0][0] if self.retries else NEVER
