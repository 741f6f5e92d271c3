"""Orders and probes under way at workers: sent, timed, and reported to the module once each."""

from collections.abc import Mapping

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import NO_REPORT, UNMATCHED, WorkerTask
from lapistrestle.policy.interface import Outcome
from lapistrestle.policy.state import Function, Worker


class WorkerTasks:
    """Bookkeeping of orders and probes, by number. Numbers are shared with attempts."""

    def __init__(self, context: HostContext, events: EventQueue) -> None:
        self.context, self.events = context, events
        self.open: dict[int, WorkerTask] = {}

    def order(self, number: int, worker: Worker, function: Function, count: int) -> None:
        """Have a worker hold `count` copies of a function."""
        task = WorkerTask(number, worker, function, count, self.context.clock())
        self.track(task, self.context.settings.preload_timeout)
        self.context.transport.hold(task)

    def probe(self, number: int, worker: Worker) -> None:
        """Ask a worker for its report."""
        task = WorkerTask(number, worker, None, 0, self.context.clock())
        self.track(task, self.context.settings.connect_timeout)
        self.context.transport.probe(task)

    def track(self, task: WorkerTask, time_out: int) -> None:
        """Keep a task until it has ended, for `time_out` at the longest."""
        self.open[task.number] = task
        task.timer = self.context.timers.at(task.sent + max(1, time_out), self.timed_out, task)

    def ordered(self, number: int, outcome: Outcome, count: int) -> None:
        """An order has ended, with `count` copies held. One that is not under way is only counted."""
        task = self.open.pop(number, None)
        if task is None or task.function is None:
            self.context.counts[UNMATCHED] += 1
            return
        if task.timer is not None:
            task.timer.stop()
        took = self.context.clock() - task.sent
        self.events.post(None, "on_preload_finished", task.worker, task.function, outcome, count, took)

    def probed(self, number: int, outcome: Outcome, report: Mapping[str, float]) -> None:
        """A probe has ended. One that is not under way is only counted."""
        task = self.open.pop(number, None)
        if task is None or task.function is not None:
            self.context.counts[UNMATCHED] += 1
            return
        if task.timer is not None:
            task.timer.stop()
        self.events.post(
            None, "on_health_check", task.worker, outcome, self.context.clock() - task.sent, report
        )

    def timed_out(self, task: WorkerTask) -> None:
        """No reply in time. What still waited for a connection never left."""
        if task.number in self.open:
            unsent = self.context.transport.withdraw(task, False)
            self.ended(task.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def ended(self, number: int, outcome: Outcome) -> None:
        """An order or a probe has ended without a reply from the worker."""
        task = self.open.get(number)
        if task is not None and task.function is not None:
            self.ordered(number, outcome, 0)
        elif task is not None:
            self.probed(number, outcome, NO_REPORT)
