"""Preloads and health checks in flight to workers; each is reported to the module exactly once."""

from collections.abc import Mapping

from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.requests import NO_REPORT, Counter, WorkerTask
from lapistrestle.policy.entities import Function, Worker
from lapistrestle.policy.types import Outcome


class WorkerTasks:
    """Preloads and health checks in flight, by number. Attempts use the same sequence of numbers."""

    def __init__(self, context: HostContext, events: EventQueue) -> None:
        self.context = context
        self.events = events
        self.open: dict[int, WorkerTask] = {}

    def preload(self, number: int, worker: Worker, function: Function, count: int) -> None:
        """Have a worker hold `count` loaded copies of a function."""
        task = WorkerTask(number, worker, function, count, self.context.clock())
        self.track(task, self.context.settings.preload_timeout)
        self.context.transport.send_preload(task)

    def health_check(self, number: int, worker: Worker) -> None:
        """Request the load report of a worker."""
        task = WorkerTask(number, worker, None, 0, self.context.clock())
        self.track(task, self.context.settings.connect_timeout)
        self.context.transport.send_health_check(task)

    def track(self, task: WorkerTask, timeout: int) -> None:
        """Register a task until it ends, for at most `timeout` ticks."""
        self.open[task.number] = task
        task.timer = self.context.timers.at(task.sent_at + max(1, timeout), self.timed_out, task)

    def preload_finished(self, number: int, outcome: Outcome, count: int) -> None:
        """A preload ended; the worker holds `count` copies. One that is not in flight is only counted."""
        task = self.open.pop(number, None)
        if task is None or task.function is None:
            self.context.counts[Counter.UNMATCHED] += 1
            return
        if task.timer is not None:
            task.timer.stop()
        duration = self.context.clock() - task.sent_at
        self.events.post(None, "on_preload_finished", task.worker, task.function, outcome, count, duration)

    def health_check_finished(self, number: int, outcome: Outcome, report: Mapping[str, float]) -> None:
        """A health check ended. One that is not in flight is only counted."""
        task = self.open.pop(number, None)
        if task is None or task.function is not None:
            self.context.counts[Counter.UNMATCHED] += 1
            return
        if task.timer is not None:
            task.timer.stop()
        self.events.post(
            None, "on_health_check", task.worker, outcome, self.context.clock() - task.sent_at, report
        )

    def timed_out(self, task: WorkerTask) -> None:
        """A task got no reply in time; it is unreachable if it was still waiting for a connection."""
        if task.number in self.open:
            unsent = self.context.transport.withdraw(task, False)
            self.finished_without_reply(task.number, Outcome.UNREACHABLE if unsent else Outcome.TIMED_OUT)

    def finished_without_reply(self, number: int, outcome: Outcome) -> None:
        """A preload or a health check ended without a reply from the worker."""
        task = self.open.get(number)
        if task is not None and task.function is not None:
            self.preload_finished(number, outcome, 0)
        elif task is not None:
            self.health_check_finished(number, outcome, NO_REPORT)
