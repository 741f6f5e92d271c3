"""Attempts in flight to workers; each is reported to the module exactly once."""

from collections.abc import Mapping
from typing import Any, cast

from lapistrestle.hosting.answers import FinalAnswers
from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import NO_REPORT, Counter, PendingRequest, RequestEnd, WorkerCall
from lapistrestle.policy.types import Attempt, AttemptResult, LoadState, Outcome


class WorkerCalls:
    """Attempts in flight, by number and by the module's attempt. Tasks use the same sequence of numbers."""

    def __init__(self, context: HostContext, events: EventQueue, answers: FinalAnswers) -> None:
        self.context = context
        self.events = events
        self.answers = answers
        self.open: dict[int, WorkerCall] = {}
        self.by_attempt: dict[Attempt, WorkerCall] = {}

    def send(self, number: int, attempt: Attempt, timeout: int) -> None:
        """Send an attempt, unless the request is closed, the limit of attempts is reached, or another one is
        in flight and attempts may not run in parallel. A `timeout` of 0 means the deadline of the request.
        """
        pending = cast(PendingRequest, attempt.request)  # made by the host
        now = self.context.clock()
        time_left = pending.deadline - now
        within = min(timeout, time_left) if timeout else time_left
        allowed = self.allowed(pending)
        worker_call = WorkerCall(
            number, attempt, pending, attempt.worker, now, within, self.write_by(pending)
        )
        self.open[number] = self.by_attempt[attempt] = worker_call
        pending.in_flight += 1
        if not allowed:
            attempts = len(pending.attempts)
            in_flight = pending.in_flight
            self.context.transport.log(
                "not sent", request=pending.tag, attempts=attempts, in_flight=in_flight
            )
            self.finished(number, Outcome.NOT_SENT)
            return
        if within <= 0:
            self.finished(number, Outcome.NOT_SENT)
            return
        worker_call.timer = self.context.timers.at(now + within, self.timed_out, worker_call)
        self.context.transport.send_call(worker_call)

    def allowed(self, pending: PendingRequest) -> bool:
        """Whether an attempt may be sent; it is already in the request's list of attempts."""
        if pending.is_closed or pending.streaming:
            return False
        parallel = self.context.settings.may_parallel or not pending.in_flight
        return bool(parallel and pending.attempt_count() <= self.context.settings.attempt_limit)

    def write_by(self, pending: PendingRequest) -> int | None:
        """Return the latest tick to write a retry of a request that may have run; None: no limit. Workers
        drop a repeated idempotency key only within a window, which may end while the attempt waits for a
        connection, and no effect may happen twice.
        """
        method = self.context.settings.methods[pending.method]
        repeat = pending.may_have_run_on is not None and method.kind == "tokened"
        return pending.may_have_run_at + method.dedup_window if repeat else None

    def started(self, number: int) -> None:
        """The worker started to stream its answer. From then on the request has no deadline."""
        worker_call = self.open.get(number)
        if worker_call is None:
            self.context.counts[Counter.UNMATCHED] += 1
            return
        pending = worker_call.pending
        if (
            not self.context.settings.methods[pending.method].streamed
            or pending.is_closed
            or pending.streaming
        ):
            return
        pending.streaming = worker_call
        for timer in (worker_call.timer, pending.deadline_guard):
            if timer is not None:
                timer.stop()
        self.context.transport.stream_started(pending)
        self.events.post(pending, "on_attempt_started", worker_call.attempt)

    def finished(
        self,
        number: int,
        outcome: Outcome,
        body: Any = None,
        load_state: LoadState = LoadState.UNKNOWN,
        concurrency: int | None = None,
        load_report: Mapping[str, float] = NO_REPORT,
    ) -> None:
        """An attempt ended. One that is not in flight is only counted: its end was reported before."""
        worker_call = self.open.pop(number, None)
        if worker_call is None:
            self.context.counts[Counter.UNMATCHED] += 1
            return
        pending, now = worker_call.pending, self.context.clock()
        del self.by_attempt[worker_call.attempt]
        pending.in_flight -= 1
        pending.unsent_attempts += outcome is Outcome.NOT_SENT
        if worker_call.timer is not None:
            worker_call.timer.stop()
        if outcome is Outcome.OK and not pending.is_closed and pending.streaming in (None, worker_call):
            self.answers.finish(pending, RequestEnd.OK, body=body)
        elif pending.streaming is worker_call and not pending.is_closed:
            self.answers.finish(pending, RequestEnd.ABORTED)  # a stream that breaks off cannot be retried
        answer = AttemptResult(
            max(0, now - worker_call.sent_at), pending.is_closed, load_state, concurrency, load_report
        )
        if pending.is_closed and not pending.in_flight:
            self.events.finished.append(pending)
        self.events.post(pending, "on_attempt_finished", worker_call.attempt, outcome, answer)

    def timed_out(self, worker_call: WorkerCall) -> None:
        """An attempt got no answer in time. If it was still waiting for a connection, it has not run."""
        if worker_call.number in self.open:
            unsent = self.context.transport.withdraw(worker_call, self.context.settings.may_cancel)
            self.finished(worker_call.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt for the module."""
        worker_call = self.by_attempt.get(attempt)
        if worker_call is not None and self.context.settings.may_cancel:
            unsent = self.context.transport.withdraw(worker_call, True)
            self.finished(worker_call.number, Outcome.NOT_SENT if unsent else Outcome.CANCELLED)

    def cancel_unsent(self, pending: PendingRequest) -> None:
        """Drop the attempts of a closed request that wait for a connection. Otherwise a worker would run a
        request that nobody waits for, as late as connecting takes.
        """
        for attempt in list(pending.attempts):
            worker_call = self.by_attempt.get(attempt)
            if worker_call is not None and self.context.transport.cancel_unsent(worker_call):
                self.finished(worker_call.number, Outcome.NOT_SENT)
