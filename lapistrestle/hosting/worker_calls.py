"""Attempts under way at workers: sent within the rules, timed, and reported to the module once each."""

from collections.abc import Mapping
from typing import Any

from lapistrestle.hosting.answers import FinalAnswers
from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import ABORTED, NO_REPORT, OK, UNMATCHED, PendingRequest, WorkerCall
from lapistrestle.policy.interface import Answer, Attempt, LoadState, Outcome


class WorkerCalls:
    """Bookkeeping of attempts, by number and by the module's call-out. Numbers are shared with tasks."""

    def __init__(self, context: HostContext, events: EventQueue, answers: FinalAnswers) -> None:
        self.context, self.events, self.answers = context, events, answers
        self.open: dict[int, WorkerCall] = {}
        self.by_attempt: dict[Attempt, WorkerCall] = {}

    def send(self, number: int, attempt: Attempt, time_out: int) -> None:
        """Send, unless the request is over, an attempt is under way already where only one may be, or the
        limit of attempts is reached. A `time_out` of 0 stands for the request's deadline."""
        pending, now = attempt.request, self.context.clock()
        left = pending.deadline - now
        within = min(time_out, left) if time_out else left
        allowed = self.allowed(pending)
        worker_call = WorkerCall(
            number, attempt, pending, attempt.worker, now, within, self.begin_by(pending)
        )
        self.open[number] = self.by_attempt[attempt] = worker_call
        pending.in_flight += 1
        if not allowed:
            tries, out = len(pending.attempts), pending.in_flight
            self.context.transport.log("not sent", request=pending.tag, tries=tries, out=out)
            return self.ended(number, Outcome.NOT_SENT)
        if within <= 0:
            return self.ended(number, Outcome.NOT_SENT)
        worker_call.timer = self.context.timers.at(now + within, self.timed_out, worker_call)
        self.context.transport.run(worker_call)

    def allowed(self, pending: PendingRequest) -> bool:
        """Whether one more attempt may be sent; it is listed among the request's call-outs already."""
        if pending.final or pending.stream:
            return False
        parallel = self.context.settings.may_parallel or not pending.in_flight
        return bool(parallel and pending.attempt_count() <= self.context.settings.attempt_limit)

    def begin_by(self, pending: PendingRequest) -> int | None:
        """Rule 2 binds at the socket: a repeat is dropped by its token only within its window, which may end
        while it waits for a connection."""
        method = self.context.settings.methods[pending.method]
        repeat = pending.ran_on is not None and method.kind == "tokened"
        return pending.ran_at + method.dedup_window if repeat else None

    def begun(self, number: int) -> None:
        """The worker's answer has begun to stream. From then on the request has no deadline."""
        worker_call = self.open.get(number)
        if worker_call is None:
            self.context.counts[UNMATCHED] += 1
            return
        pending = worker_call.pending
        if not self.context.settings.methods[pending.method].streamed or pending.final or pending.stream:
            return
        pending.stream = worker_call
        for timer in (worker_call.timer, pending.guard):
            if timer is not None:
                timer.stop()
        self.context.transport.stream(pending)
        self.events.post(pending, "on_attempt_started", worker_call.attempt)

    def ended(
        self,
        number: int,
        outcome: Outcome,
        body: Any = None,
        warmth: LoadState = LoadState.UNKNOWN,
        company: int | None = None,
        report: Mapping[str, float] = NO_REPORT,
    ) -> None:
        """An attempt has ended. One that is not under way is only counted: it was reported before."""
        worker_call = self.open.pop(number, None)
        if worker_call is None:
            self.context.counts[UNMATCHED] += 1
            return
        pending, now = worker_call.pending, self.context.clock()
        del self.by_attempt[worker_call.attempt]
        pending.in_flight -= 1
        pending.unsent += outcome is Outcome.NOT_SENT
        if worker_call.timer is not None:
            worker_call.timer.stop()
        if outcome is Outcome.OK and not pending.final and pending.stream in (None, worker_call):
            self.answers.finish(pending, OK, body=body)
        elif pending.stream is worker_call and not pending.final:
            self.answers.finish(pending, ABORTED)  # a break in a begun stream ends it
        answer = Answer(max(0, now - worker_call.sent), pending.final, warmth, company, report)
        if pending.final and not pending.in_flight:
            self.events.finished.append(pending)
        self.events.post(pending, "on_attempt_finished", worker_call.attempt, outcome, answer)

    def timed_out(self, worker_call: WorkerCall) -> None:
        """No answer in time. What still waited for a connection never left, so it has not run."""
        if worker_call.number in self.open:
            unsent = self.context.transport.withdraw(worker_call, self.context.settings.may_cancel)
            self.ended(worker_call.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def cancel(self, attempt: Attempt) -> None:
        """The module wants no more of this attempt."""
        worker_call = self.by_attempt.get(attempt)
        if worker_call is not None and self.context.settings.may_cancel:
            unsent = self.context.transport.withdraw(worker_call, True)
            self.ended(worker_call.number, Outcome.NOT_SENT if unsent else Outcome.CANCELLED)

    def cancel_unsent(self, pending: PendingRequest) -> None:
        """What waits for a connection when its request ends is never sent: guards a worker against work that
        nobody waits for, begun as long after as a dial lasts."""
        for attempt in list(pending.attempts):
            worker_call = self.by_attempt.get(attempt)
            if worker_call is not None and self.context.transport.cancel_unsent(worker_call):
                self.ended(worker_call.number, Outcome.NOT_SENT)
