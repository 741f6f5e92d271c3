"""Attempts under way at workers: sent within the rules, timed, and reported to the module once each."""

from collections.abc import Mapping
from typing import Any

from lapistrestle.hosting.answers import FinalAnswers
from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import ABORTED, NO_REPORT, OK, UNMATCHED, Attempt, PendingRequest
from lapistrestle.interface import Answer, CallOut, Outcome, Warmth


class Attempts:
    """Bookkeeping of attempts, by number and by the module's call-out. Numbers are shared with tasks."""

    def __init__(self, context: HostContext, events: EventQueue, answers: FinalAnswers) -> None:
        self.context, self.events, self.answers = context, events, answers
        self.open: dict[int, Attempt] = {}
        self.by_call_out: dict[CallOut, Attempt] = {}

    def send(self, number: int, call_out: CallOut, time_out: int) -> None:
        """Send, unless the request is over, an attempt is under way already where only one may be, or the
        limit of attempts is reached. A `time_out` of 0 stands for the request's deadline."""
        pending, now = call_out.rpc, self.context.clock()
        left = pending.deadline - now
        within = min(time_out, left) if time_out else left
        allowed = self.allowed(pending)
        attempt = Attempt(number, call_out, pending, call_out.srv, now, within, self.begin_by(pending))
        self.open[number] = self.by_call_out[call_out] = attempt
        pending.in_flight += 1
        if not allowed:
            tries, out = len(pending.call_outs), pending.in_flight
            self.context.transport.log("not sent", rpc=pending.tag, tries=tries, out=out)
            return self.ended(number, Outcome.MOOT)
        if within <= 0:
            return self.ended(number, Outcome.MOOT)
        attempt.timer = self.context.timers.at(now + within, self.timed_out, attempt)
        self.context.transport.run(attempt)

    def allowed(self, pending: PendingRequest) -> bool:
        """Whether one more attempt may be sent; it is listed among the request's call-outs already."""
        if pending.final or pending.stream:
            return False
        parallel = self.context.facts["may_parallel"] or not pending.in_flight
        return bool(parallel and pending.attempt_count() <= self.context.facts["try_limit"])

    def begin_by(self, pending: PendingRequest) -> int | None:
        """Rule 2 binds at the socket: a repeat is dropped by its token only within its window, which may end
        while it waits for a connection."""
        method = self.context.facts["methods"][pending.method]
        repeat = pending.ran_on is not None and method["kind"] == "tokened"
        return pending.ran_at + method["repeat_window"] if repeat else None

    def begun(self, number: int) -> None:
        """The worker's answer has begun to stream. From then on the request has no deadline."""
        attempt = self.open.get(number)
        if attempt is None:
            self.context.counts[UNMATCHED] += 1
            return
        pending = attempt.pending
        if not self.context.facts["methods"][pending.method]["streamed"] or pending.final or pending.stream:
            return
        pending.stream = attempt
        for timer in (attempt.timer, pending.guard):
            if timer is not None:
                timer.stop()
        self.context.transport.stream(pending)
        self.events.post(pending, "begun", attempt.call_out)

    def ended(
        self,
        number: int,
        outcome: Outcome,
        body: Any = None,
        warmth: Warmth = Warmth.UNTOLD,
        company: int | None = None,
        report: Mapping[str, float] = NO_REPORT,
    ) -> None:
        """An attempt has ended. One that is not under way is only counted: it was reported before."""
        attempt = self.open.pop(number, None)
        if attempt is None:
            self.context.counts[UNMATCHED] += 1
            return
        pending, now = attempt.pending, self.context.clock()
        del self.by_call_out[attempt.call_out]
        pending.in_flight -= 1
        pending.unsent += outcome is Outcome.MOOT
        if attempt.timer is not None:
            attempt.timer.stop()
        if outcome is Outcome.OK and not pending.final and pending.stream in (None, attempt):
            self.answers.finish(pending, OK, body=body)
        elif pending.stream is attempt and not pending.final:
            self.answers.finish(pending, ABORTED)  # a break in a begun stream ends it
        answer = Answer(max(0, now - attempt.sent), pending.final, warmth, company, report)
        if pending.final and not pending.in_flight:
            self.events.finished.append(pending)
        self.events.post(pending, "ended", attempt.call_out, outcome, answer)

    def timed_out(self, attempt: Attempt) -> None:
        """No answer in time. What still waited for a connection never left, so it has not run."""
        if attempt.number in self.open:
            unsent = self.context.transport.withdraw(attempt, self.context.facts["may_cancel"])
            self.ended(attempt.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def cancel(self, call_out: CallOut) -> None:
        """The module wants no more of this attempt."""
        attempt = self.by_call_out.get(call_out)
        if attempt is not None and self.context.facts["may_cancel"]:
            unsent = self.context.transport.withdraw(attempt, True)
            self.ended(attempt.number, Outcome.MOOT if unsent else Outcome.CANCELLED)

    def cancel_unsent(self, pending: PendingRequest) -> None:
        """What waits for a connection when its request ends is never sent: guards a worker against work that
        nobody waits for, begun as long after as a dial lasts."""
        for call_out in list(pending.call_outs):
            attempt = self.by_call_out.get(call_out)
            if attempt is not None and self.context.transport.cancel_unsent(attempt):
                self.ended(attempt.number, Outcome.MOOT)
