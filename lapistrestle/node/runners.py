"""The connection pools to the runners of the platform."""

from base64 import b64encode
from collections.abc import Collection
from typing import Any

from lapistrestle.edge.connection_state import ConnectionEvent, ConnectionState, Line
from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import PendingRequest, WorkerCall, WorkerTask
from lapistrestle.node.configuration import Configuration
from lapistrestle.node.process_identity import process_since
from lapistrestle.node.runner_connection import RunnerConnection
from lapistrestle.policy.settings import MethodKind
from lapistrestle.policy.types import Outcome
from lapistrestle.ticks import MICROSECONDS, MILLISECOND, SECOND

REPEAT_HELD_BACK = "repeat held back"
MAX_CONNECTIONS_PER_RUNNER = 16  # several, as an invalid reply ends all calls of its connection
SWEEP_INTERVAL = SECOND  # between two sweeps for idle connections
RUNNER_SOCKETS_SHARE = (2, 5)  # the fraction of the process's sockets for runners
NOT_OPEN_PENALTY = 16  # extra lines that a connection counts as having while it is not open
USABLE = (ConnectionState.OPEN, ConnectionState.DIALING, ConnectionState.SLOW)


class Runner:
    """The connection pool to one runner process at one address."""

    def __init__(self, pools: "RunnerPools", name: str, address: tuple[str, int]) -> None:
        self.pools = pools
        self.core = pools.core
        self.name = name
        self.address = address
        self.connections: list[RunnerConnection] = []

    # core.RunnerHandle

    def added(self) -> None:
        """Do nothing: a runner is dialled on first use, as most dispatchers never use most runners."""

    def removed(self) -> None:
        """Handle the removal from the list: drop preloads and health checks; calls may still finish."""
        for connection in list(self.connections):
            connection.settle_identity()
            connection.end_tasks()
            connection.state_machine.step(ConnectionEvent.REMOVED)

    def discard_unsent(self) -> None:
        """Discard queued lines, as the runner drains."""
        for connection in list(self.connections):
            connection.state_machine.discard_unsent()

    def end(self) -> None:
        """Close all connections immediately."""
        for connection in list(self.connections):
            connection.close()

    # the pool

    def remove(self, connection: RunnerConnection) -> None:
        """Remove a connection that was closed or lost."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.pools.connections -= 1

    def connected_since(self) -> int | None:
        """The tick since which the runner's process has run at least; None without an open connection.

        A connection reaches the process that accepted it. Another process may accept a later one, unless the
        earlier connection still delivers: then both reach the same.
        """
        established = [connection for connection in self.connections if connection.is_established]
        if not established:
            return None
        newest = max(established, key=lambda connection: connection.established_at)
        return process_since(newest, established)

    def open_connection(self) -> RunnerConnection | None:
        """Open another connection; None if the limit is reached."""
        if len(self.connections) >= MAX_CONNECTIONS_PER_RUNNER or not self.pools.may_open():
            return None
        connection = RunnerConnection(self)
        self.connections.append(connection)
        self.pools.connections += 1
        connection.state_machine.step(ConnectionEvent.LINE_QUEUED)
        return connection

    def pick_for_call(self, worker_call: WorkerCall) -> RunnerConnection | None:
        """The connection for an attempt; None if there is none.

        A repeat that only some workers recognise goes by a connection to a process that is known.
        """
        used = worker_call.pending.message.used_connections
        if not self.pools.is_scoped_repeat(worker_call.pending):
            return self.pick(used)
        if any(earlier.is_established and not earlier.reaches_listed_process() for earlier in used):
            return None
        unknown = [connection for connection in self.connections if not connection.reaches_listed_process()]
        picked = self.pick([*used, *unknown])
        return picked if picked is not None and picked.reaches_listed_process() else None

    def pick(self, used: Collection[RunnerConnection]) -> RunnerConnection | None:
        """The least loaded connection, not in `used`, that is open or being opened; None if there is none.

        If it has calls in flight another one is opened for later calls, so that an invalid reply ends few
        calls.
        """
        best: RunnerConnection | None = None
        least, is_dialling = self.pools.max_calls, False
        for connection in list(self.connections):
            state_machine = connection.state_machine
            if connection.is_stale():  # the runner may be closing it; a call sent meanwhile may have run
                connection.close()
                continue
            state, load = state_machine.state, len(state_machine.in_flight)
            if state is ConnectionState.OPEN:
                if not load and connection not in used:
                    return connection
            elif state in USABLE:
                is_dialling = is_dialling or state is ConnectionState.DIALING
                load += len(state_machine.queued) + NOT_OPEN_PENALTY
            else:
                continue
            if connection in used:
                continue
            if load < least:
                best, least = connection, load
        if best is None:
            return self.open_connection()
        if least and not is_dialling:
            self.open_connection()
        return best

    # sending

    def send_call(self, worker_call: WorkerCall) -> None:
        """Send an attempt."""
        pending, message = worker_call.pending, worker_call.pending.message
        connection = worker_call.connection = self.pick_for_call(worker_call)
        if connection is None and self.pools.is_scoped_repeat(pending):
            self.core.count_and_log(REPEAT_HELD_BACK, id=pending.tag, runner=self.name)
            self.core.host.attempt_finished(worker_call.number, Outcome.NOT_SENT)
            return
        line = Line(
            worker_call.number, lambda: self.call_line(worker_call), worker_call.write_by, worker_call
        )
        if connection is None or not connection.send(pending.tag, line):
            self.core.host.attempt_finished(worker_call.number, Outcome.REJECTED)
            return
        message.used_connections.append(connection)

    def call_line(self, worker_call: WorkerCall) -> bytes:
        """The line of an attempt, with the time left to it now."""
        message, time_left = worker_call.pending.message, worker_call.expires_at - self.core.clock()
        return b'{"verb":"RUN","rid":"%s","attrs":{%s,"budget":%d%s},"content":"%s"}\n' % (
            message.id, message.head, max(1, time_left // MILLISECOND), message.key, b64encode(message.body),
        )  # fmt: skip

    def send_preload(self, task: WorkerTask) -> None:
        """Send a preload."""
        assert task.function is not None
        attrs = b'{"path":"%s","slots_up":%d}' % (task.function.name.encode(), task.count)
        self.send_task(task, b"HOLD", b',"attrs":' + attrs, task.count > 0)

    def send_health_check(self, task: WorkerTask) -> None:
        """Ask for a load report."""
        self.send_task(task, b"INFO", b"", False)

    def send_task(self, task: WorkerTask, verb: bytes, attrs: bytes, prompt: bool) -> None:
        """Send a preload or a health check; `attrs` is the rest of the JSON object."""
        connection, tag = self.pick([]), f"t{task.number}"
        task.connection = connection
        line = b'{"verb":"%s","rid":"%s"%s}\n' % (verb, tag.encode(), attrs)
        work = task if task.count else None  # a health check starts nothing
        if connection is None or not connection.send(tag, Line(task.number, lambda: line, work=work), prompt):
            self.core.host.task_finished_without_reply(task.number, Outcome.REJECTED)

    def unload(self, function: str) -> None:
        """Have the runner drop a function; no reply is awaited."""
        if connection := self.pick([]):
            connection.state_machine.send(
                Line(0, lambda: b'{"verb":"FREE","rid":"%s"}\n' % function.encode())
            )


class RunnerPools:
    """All connection pools, within the limit of sockets. Calling it creates the pool of a runner."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        limits = configuration.platform.limits
        self.core, self.max_calls = core, limits.streams_per_conn
        self.report_names = configuration.report_names
        self.reports_concurrency = core.settings.reports_concurrency
        idle = limits.conn_idle // MICROSECONDS
        self.idle_limit = max(idle * 6 // 10, idle - 2 * SECOND)  # ahead of the runner's own limit
        self.max_connections = (
            configuration.file.limits.sockets * RUNNER_SOCKETS_SHARE[0] // RUNNER_SOCKETS_SHARE[1]
        )
        self.connections = 0
        core.counts[REPEAT_HELD_BACK] = 0

    def __call__(self, name: str, address: Any, start: str = "") -> Runner:
        """Create the pool of one runner process."""
        return Runner(self, name, address)

    def is_scoped_repeat(self, pending: PendingRequest) -> bool:
        """Whether an attempt of a request may be a repeat that only some workers recognise."""
        method = self.core.settings.methods[pending.method]
        return pending.may_have_run_on is not None and (
            method.kind is MethodKind.DEDUPLICATED and method.dedup_scope != "all"
        )

    def complete_until(self) -> int:
        """The tick until which no event of the worker list is missing."""
        gap = self.core.endpoint_gap()
        return self.core.clock() if gap is None else gap.complete_until

    def start(self) -> None:
        """Start the sweeps for idle connections."""
        self.core.after(SWEEP_INTERVAL, self.sweep, None)

    def sweep(self, _: object) -> None:
        """Close connections that their runners are about to close."""
        for runner in self.core.runners.values():
            for connection in list(runner.connections):
                if connection.is_stale():
                    connection.close()
        self.core.after(SWEEP_INTERVAL, self.sweep, None)

    def may_open(self) -> bool:
        """Whether another connection may be opened; at the limit, an idle one of another runner is closed."""
        if self.connections < self.max_connections:
            return True
        idle = [
            connection
            for runner in self.core.runners.values()
            if len(runner.connections) > 1
            for connection in runner.connections
            if connection.state_machine.state is ConnectionState.OPEN and not connection.load()
        ]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.last_used_at).close()
        return True
