"""Interface between the host and a transport, through which all output goes."""

from typing import Any, Protocol

from lapistrestle.hosting.requests import PendingRequest, RequestEnd, WorkerCall, WorkerTask
from lapistrestle.policy.types import EndpointGap, FunctionInfo, WorkerInfo


class Transport(Protocol):
    """Implemented by the front end of each protocol. No method may raise. A method may call the host back
    only to end the attempt or task that was passed to it.
    """

    def send_answer(self, pending: PendingRequest, end: RequestEnd, retry_after: int, body: Any) -> None:
        """Send the final answer; `retry_after` is the retry delay for the client in ticks, 0: none."""

    def request_closed(self, pending: PendingRequest, end: RequestEnd) -> None:
        """The request was closed: answered, client disconnected, or submitted for another function."""

    def request_finished(self, pending: PendingRequest) -> None:
        """The request is closed and none of its attempts is in flight. May be called more than once."""

    def stream_started(self, pending: PendingRequest) -> None:
        """The answer started to stream."""

    def send_call(self, worker_call: WorkerCall) -> None:
        """Send an attempt to its worker."""

    def cancel_unsent(self, worker_call: WorkerCall) -> bool:
        """Drop the attempt if it was not written yet, and return whether it was dropped."""

    def withdraw(self, task: WorkerCall | WorkerTask, notify: bool) -> bool:
        """Stop waiting for the reply; with `notify`, ask the worker to cancel. Return True if it was never
        sent.
        """

    def send_preload(self, task: WorkerTask) -> None:
        """Send a preload: the worker is to hold `task.count` copies of `task.function`."""

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        """Have a worker unload a function; no reply is expected."""

    def send_health_check(self, task: WorkerTask) -> None:
        """Request the load report of a worker."""

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send a message to the dispatcher with index `peer`, or to all if it is None."""

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list at its sources."""

    def endpoint_gap(self) -> EndpointGap | None:
        """Return the changes that the endpoint list may lack; None: it is complete."""

    def connected_since(self, worker: WorkerInfo) -> int | None:
        """Return the tick since which the process that is connected has run at least; None: none is."""

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Request a longer prefix of the function's order than the one known."""

    def timers_changed(self) -> None:
        """The time of the next timer may have changed."""

    def log(self, what: str, **figures: Any) -> None:
        """Write a log line."""
