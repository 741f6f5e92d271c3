"""What a transport does for the host: the only way from decisions to sockets."""

from typing import Any, Protocol

from lapistrestle.hosting.requests import PendingRequest, RequestEnd, WorkerCall, WorkerTask
from lapistrestle.policy.types import FunctionInfo, WorkerInfo


class Transport(Protocol):
    """Implemented by each protocol's front end. No method may raise, nor call the host back within the call
    other than to end the attempt or task that it was given.
    """

    def send_answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        """Write the final answer; `retry_after` is how long the client is asked to wait before it retries."""

    def request_closed(self, pending: PendingRequest, how: RequestEnd) -> None:
        """The request is over: answered, left or moved."""

    def stream_started(self, pending: PendingRequest) -> None:
        """The answer has begun to stream."""

    def send_call(self, worker_call: WorkerCall) -> None:
        """Send an attempt to its worker."""

    def cancel_unsent(self, worker_call: WorkerCall) -> bool:
        """Drop it if it was not written yet. True if it never left, and now never does."""

    def withdraw(self, task: WorkerCall | WorkerTask, notify: bool) -> bool:
        """Wait for it no more, and with `notify` have the worker cancel it. True if it never left."""

    def send_preload(self, task: WorkerTask) -> None:
        """Send a preload: hold `task.count` copies of `task.function`."""

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        """Have a worker drop a function; nothing is waited for."""

    def send_health_check(self, task: WorkerTask) -> None:
        """Ask a worker for its report."""

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send text to a dispatcher by its index, or to all where it is None."""

    def watch_endpoints(self) -> None:
        """Ask the sources of the worker list for updates."""

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Ask for a longer prefix of the function's order than is known."""

    def timers_changed(self) -> None:
        """The next timer may have changed."""

    def log(self, what: str, **figures: Any) -> None:
        """One log line."""
