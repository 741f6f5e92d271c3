"""The two interfaces of the decision module: what it asks of its host, and what the host tells it.

The host reports each event as a method call on `Events`; the module answers by calling `Host`. Neither waits.
"""

from collections.abc import Mapping, Sequence
from typing import Protocol

from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.types import Attempt, AttemptResult, FunctionInfo, Outcome, RequestInfo, WorkerInfo


class Host(Protocol):
    """Everything that the module can do to the world."""

    def send_attempt(self, attempt: Attempt, time_out: int) -> None:
        """Send the attempt to its worker, and end it as timed out after so many ticks."""

    def reject(self, request: RequestInfo, retry_after: int) -> None:
        """Answer that the request was not run; the client may come back after so many ticks, 0: not told."""

    def abort(self, request: RequestInfo) -> None:
        """Answer that the request failed and may have run."""

    def cancel(self, attempt: Attempt) -> None:
        """Call the attempt off."""

    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None:
        """Have so many copies of the function loaded on the worker, and kept."""

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        """Have all copies of the function unloaded on the worker."""

    def health_check(self, worker: WorkerInfo) -> None:
        """Ask the worker how it is."""

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send a text to another dispatcher, or to all."""

    def set_timer(self, delay: int, token: object) -> None:
        """Report `on_timer(token)` after so many ticks."""

    def watch_endpoints(self) -> None:
        """Ask for the endpoint list and its changes, or renew that."""

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Look up more of the function's order: the known prefix does not reach far enough."""

    def log(self, text: str) -> None:
        """Write a line for operators."""


class Events(Protocol):
    """What the module is told. The host sets `now` before each call."""

    now: int

    def on_endpoints(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        """The endpoint list says this of these workers; `snapshot`: it names all that there are."""

    def on_endpoints_failed(self) -> None:
        """The endpoint list could not be had."""

    def on_prefix(self, function: Function, prefix: list[Worker]) -> None:
        """The first workers of the function's order, each of them reported before."""

    def on_request(self, request: Request) -> None:
        """A request came in."""

    def on_attempt_started(self, attempt: Attempt) -> None:
        """The worker has begun to answer."""

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, result: AttemptResult) -> None:
        """An attempt ended."""

    def on_client_gone(self, request: Request) -> None:
        """The client has left, or the host has answered it."""

    def on_timer(self, token: object) -> None:
        """A timer that the module set is due."""

    def on_preload_finished(
        self, worker: Worker, function: Function, outcome: Outcome, count: int, duration: int
    ) -> None:
        """A preload was answered: so many copies stand there, after so many ticks."""

    def on_health_check(
        self, worker: Worker, outcome: Outcome, duration: int, report: Mapping[str, float]
    ) -> None:
        """A health check was answered, after so many ticks."""

    def on_gossip(self, peer: int, text: str) -> None:
        """Another dispatcher sent a text."""

    def on_peer_verdict(self, worker: Worker, at: int) -> None:
        """Others of the fleet found the worker healthy, at that tick."""
