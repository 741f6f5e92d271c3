"""Interfaces between the decision module and its host.

The host reports each event by calling a method of `Events`; the module issues commands by calling `Host`. No
call blocks.
"""

from collections.abc import Mapping, Sequence
from typing import Protocol

from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    EndpointGap,
    FunctionInfo,
    Outcome,
    RequestInfo,
    WorkerInfo,
)


class TimerHandle(Protocol):
    """A timer that may be stopped."""

    def stop(self) -> None:
        """Stop the timer, and let go of its token."""


class Host(Protocol):
    """Commands of the module to its host."""

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Send the attempt to its worker; it ends as timed out after `timeout` ticks."""

    def reject(self, request: RequestInfo, retry_after: int) -> None:
        """Answer that the request was not run. The client may retry after `retry_after` ticks; 0: no hint."""

    def abort(self, request: RequestInfo) -> None:
        """Answer that the request failed and may have run."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt."""

    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None:
        """Have the worker hold `count` loaded copies of the function."""

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        """Have the worker unload all copies of the function."""

    def health_check(self, worker: WorkerInfo) -> None:
        """Send a health check to the worker."""

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send a message to another dispatcher; None: to all."""

    def set_timer(self, delay: int, token: object) -> TimerHandle | None:
        """Call `on_timer(token)` after `delay` ticks. None if the timer can't be stopped."""

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list and its changes, or renew the subscription."""

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Look up a longer prefix of the function's order: the known one ran out of usable workers."""

    def endpoint_gap(self) -> EndpointGap | None:
        """Return the changes that the endpoint list may lack; None: it is complete."""

    def connected_since(self, worker: WorkerInfo) -> int | None:
        """Return the tick since which the process that the host is connected to has run at least; None
        without a connection.
        """

    def forget_function(self, function: FunctionInfo) -> None:
        """Discard the function: nothing is in flight, and what was learned of it has been evicted."""

    def log(self, text: str) -> None:
        """Write a log line for operators."""


class Events(Protocol):
    """Events reported to the module. The host sets `now` before each call."""

    now: int

    def on_endpoints(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        """The endpoint list changed; with `snapshot`, `workers` is the complete list."""

    def on_endpoints_failed(self) -> None:
        """The endpoint list could not be read."""

    def on_prefix(self, function: Function, prefix: list[Worker]) -> None:
        """The directory returned a prefix of the function's order; each worker was reported before."""

    def on_request(self, request: Request) -> None:
        """A request was received."""

    def on_attempt_started(self, attempt: Attempt) -> None:
        """The worker started to stream its answer."""

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, result: AttemptResult) -> None:
        """An attempt ended."""

    def on_client_gone(self, request: Request) -> None:
        """The client disconnected, or the host sent the final answer by itself."""

    def on_timer(self, token: object) -> None:
        """A timer set by the module is due."""

    def on_preload_finished(
        self, worker: Worker, function: Function, outcome: Outcome, count: int, duration: int
    ) -> None:
        """A preload ended after `duration` ticks; the worker now holds `count` copies."""

    def on_health_check(
        self, worker: Worker, outcome: Outcome, duration: int, report: Mapping[str, float]
    ) -> None:
        """A health check ended after `duration` ticks."""

    def on_gossip(self, peer: int, text: str) -> None:
        """Another dispatcher sent a message."""

    def on_peer_verdict(self, worker: Worker, at: int) -> None:
        """Another dispatcher of the fleet found the worker healthy at tick `at`."""

    def on_memory(self, used: int) -> None:
        """The memory that the process uses was measured, in bytes. Only if the settings have a limit."""
