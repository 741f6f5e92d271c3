"""The pool of connections to each runner of the platform, and all of them together."""

from base64 import b64encode
from collections.abc import Collection
from typing import Any

from lapistrestle.edge.core import Core
from lapistrestle.edge.linking import Input, Line, Link
from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.node.configuration import Configuration
from lapistrestle.node.runner_connection import RunnerConnection
from lapistrestle.policy.types import Outcome
from lapistrestle.ticks import MICROSECONDS, MILLISECOND, SECOND

MAX_CONNECTIONS_PER_RUNNER = 16  # more than one: a bad answer ends all that its connection carries
SWEEP_INTERVAL = SECOND  # between two looks for idle connections
RUNNER_SOCKETS_SHARE = (2, 5)  # of the process's sockets may go to runners
NOT_OPEN_PENALTY = 16  # lines that a connection which is not open counts as having more
USABLE = (Link.OPEN, Link.DIALING, Link.SLOW)


class Runner:
    """One start of a runner at one address, and the pool of connections to it."""

    def __init__(self, pools: "RunnerPools", name: str, address: tuple[str, int]) -> None:
        self.pools = pools
        self.core = pools.core
        self.name = name
        self.address = address
        self.connections: list[RunnerConnection] = []

    # what the core tells

    def named(self) -> None:
        """Nothing: it is dialled when first needed; most dispatchers never meet most runners."""

    def dropped(self) -> None:
        """It is gone from the list: what is out may still end, preloads and health checks are given up."""
        for connection in list(self.connections):
            connection.end_tasks()
            connection.linking.step(Input.DROPPED)

    def hold_back(self) -> None:
        """It drains: what waits to be written is not sent."""
        for connection in list(self.connections):
            connection.linking.hold_back()

    def end(self) -> None:
        """Close all at once."""
        for connection in list(self.connections):
            connection.close()

    # the pool

    def remove(self, connection: RunnerConnection) -> None:
        """It is closed, or was lost."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.pools.connections -= 1

    def open_one(self) -> RunnerConnection | None:
        """One more connection, unless there are as many as may be."""
        if len(self.connections) >= MAX_CONNECTIONS_PER_RUNNER or not self.pools.may_open():
            return None
        connection = RunnerConnection(self)
        self.connections.append(connection)
        self.pools.connections += 1
        connection.linking.step(Input.WANTED)
        return connection

    def pick(self, used: Collection[RunnerConnection]) -> RunnerConnection | None:
        """The connection with the least on it, made or about to be; where that one is busy a further one is
        opened beside it, so that a bad answer ends little else.
        """
        best: RunnerConnection | None = None
        least, dialling = self.pools.max_calls, False
        for connection in list(self.connections):
            linking = connection.linking
            if connection.is_stale():  # its runner may be closing it: a call that crosses that may have run
                connection.close()
                continue
            state, held = linking.state, len(linking.out)
            if state is Link.OPEN:
                if not held and connection not in used:
                    return connection
            elif state in USABLE:
                dialling = dialling or state is Link.DIALING
                held += len(linking.waiting) + NOT_OPEN_PENALTY
            else:
                continue
            if connection in used:
                continue
            if held < least:
                best, least = connection, held
        if best is None:
            return self.open_one()
        if least and not dialling:
            self.open_one()
        return best

    # what the host asks

    def send_call(self, worker_call: WorkerCall) -> None:
        """Send an attempt."""
        pending, message = worker_call.pending, worker_call.pending.message
        connection = worker_call.connection = self.pick(message.used_connections)
        line = Line(worker_call.number, lambda: self.run_line(worker_call), worker_call.write_by, worker_call)
        if connection is None or not connection.send(pending.tag, line):
            self.core.host.attempt_finished(worker_call.number, Outcome.REJECTED)
            return
        message.used_connections.append(connection)

    def run_line(self, worker_call: WorkerCall) -> bytes:
        """An attempt as it is sent to the runner, with the time that is left as it is written."""
        message, left = worker_call.pending.message, worker_call.expires_at - self.core.clock()
        return b'{"verb":"RUN","rid":"%s","attrs":{%s,"budget":%d%s},"content":"%s"}\n' % (
            message.id, message.head, max(1, left // MILLISECOND), message.key, b64encode(message.body),
        )  # fmt: skip

    def send_preload(self, task: WorkerTask) -> None:
        """Send a preload."""
        assert task.function is not None
        attrs = b'{"path":"%s","slots_up":%d}' % (task.function.name.encode(), task.count)
        self.send_task(task, b"HOLD", b',"attrs":' + attrs, task.count > 0)

    def send_health_check(self, task: WorkerTask) -> None:
        """Ask for a report."""
        self.send_task(task, b"INFO", b"", False)

    def send_task(self, task: WorkerTask, verb: bytes, attrs: bytes, prompt: bool) -> None:
        """Send a preload or a health check; `attrs` is the rest of the JSON object."""
        connection, tag = self.pick([]), f"t{task.number}"
        task.connection = connection
        line = b'{"verb":"%s","rid":"%s"%s}\n' % (verb, tag.encode(), attrs)
        work = task if task.count else None  # asking, and probing, begins nothing
        if connection is None or not connection.send(tag, Line(task.number, lambda: line, work=work), prompt):
            self.core.host.task_finished_without_reply(task.number, Outcome.REJECTED)

    def unload(self, function: str) -> None:
        """Have it drop a function; no reply is awaited."""
        if connection := self.pick([]):
            connection.linking.send(Line(0, lambda: b'{"verb":"FREE","rid":"%s"}\n' % function.encode()))


class RunnerPools:
    """All connections to runners. Calling it makes the `Runner` of a name and address."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        limits = configuration.platform.limits
        self.core, self.max_calls = core, limits.streams_per_conn
        self.report_names = configuration.report_names
        self.reports_concurrency = core.settings.reports_concurrency
        idle = limits.conn_idle // MICROSECONDS
        self.idle_limit = max(idle * 6 // 10, idle - 2 * SECOND)  # before the runner would
        self.max_connections = (
            configuration.file.limits.sockets * RUNNER_SOCKETS_SHARE[0] // RUNNER_SOCKETS_SHARE[1]
        )
        self.connections = 0

    def __call__(self, name: str, address: Any, start: str = "") -> Runner:
        """The pool of one start of a runner."""
        return Runner(self, name, address)

    def start(self) -> None:
        """Begin to close connections that idle."""
        self.core.after(SWEEP_INTERVAL, self.sweep, None)

    def sweep(self, _: object) -> None:
        """Close what its runner is about to close."""
        for runner in self.core.runners.values():
            for connection in list(runner.connections):
                if connection.is_stale():
                    connection.close()
        self.core.after(SWEEP_INTERVAL, self.sweep, None)

    def may_open(self) -> bool:
        """Whether one more may be opened; where none may, one that idles elsewhere makes room."""
        if self.connections < self.max_connections:
            return True
        idle = [
            connection
            for runner in self.core.runners.values()
            if len(runner.connections) > 1
            for connection in runner.connections
            if connection.linking.state is Link.OPEN and not connection.load()
        ]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.last_used).close()
        return True
