"""The pool of connections to each runner of the platform, and all of them together."""

from base64 import b64encode
from typing import Any

from lapistrestle.edge.core import Core
from lapistrestle.edge.linking import Input, Line, Link
from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.node.configuration import Configuration
from lapistrestle.node.connection import RunnerConnection
from lapistrestle.policy.interface import Outcome

EACH_MOST = 16  # connections to one runner: one bad answer ends all that its connection carries
SECOND = 10_000  # in tenths of a millisecond
SWEEP = SECOND  # between two looks for idle connections
MICROSECONDS = 100  # in a tenth of a millisecond
TENTHS_IN_MS = 10
SOCKETS_PART = (2, 5)  # of the process's sockets may go to runners
WAITS_LONGER = 16  # lines that a connection which is not open counts as having more
USABLE = (Link.OPEN, Link.DIALING, Link.SLOW)


class Runner:
    """One start of a runner at one address, and the pool of connections to it."""

    def __init__(self, pools: "RunnerPools", name: str, address: tuple[str, int]) -> None:
        self.pools, self.core, self.name, self.address = pools, pools.core, name, address
        self.connections: list[RunnerConnection] = []

    # what the core tells

    def named(self) -> None: ...  # dialled when first needed: most runners are never met by most dispatchers

    def dropped(self) -> None:
        """It is gone from the list: what is out may still end, orders and probes are given up."""
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
        if len(self.connections) >= EACH_MOST or not self.pools.room():
            return None
        connection = RunnerConnection(self)
        self.connections.append(connection)
        self.pools.connections += 1
        connection.linking.step(Input.WANTED)
        return connection

    def pick(self, used: list[Any]) -> RunnerConnection | None:
        """The connection with the least on it, made or about to be; where that one is busy a further one is
        opened beside it, so that a bad answer ends little else."""
        best: RunnerConnection | None = None
        least, dialling = self.pools.streams, False
        for connection in list(self.connections):
            linking = connection.linking
            if connection.stale():  # its runner may be closing it: a call that crosses that may have run
                connection.close()
                continue
            state, held = linking.state, len(linking.out)
            if state is Link.OPEN:
                if not held and connection not in used:
                    return connection
            elif state in USABLE:
                dialling = dialling or state is Link.DIALING
                held += len(linking.waiting) + WAITS_LONGER
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

    def run(self, worker_call: WorkerCall) -> None:
        """Send an attempt."""
        pending, asked = worker_call.pending, worker_call.pending.message
        connection = worker_call.connection = self.pick(asked.used)
        line = Line(worker_call.number, lambda: self.run_line(worker_call), worker_call.begin_by, worker_call)
        if connection is None or not connection.send(pending.tag, line):
            return self.core.host.ended(worker_call.number, Outcome.REJECTED)
        asked.used.append(connection)

    def run_line(self, worker_call: WorkerCall) -> bytes:
        """An attempt as the runner is told of it, with the time that is left as it is written."""
        asked, left = worker_call.pending.message, worker_call.ends_by - self.core.clock()
        return b'{"verb":"RUN","rid":"%s","attrs":{%s,"budget":%d%s},"content":"%s"}\n' % (
            asked.id, asked.head, max(1, left // TENTHS_IN_MS), asked.key, b64encode(asked.body),
        )  # fmt: skip

    def hold(self, task: WorkerTask) -> None:
        """Send an order to hold copies."""
        assert task.function is not None
        attrs = b'{"path":"%s","slots_up":%d}' % (task.function.name.encode(), task.count)
        self.send_task(task, b"HOLD", b',"attrs":' + attrs, task.count > 0)

    def probe(self, task: WorkerTask) -> None:
        """Ask for a report."""
        self.send_task(task, b"INFO", b"", False)

    def send_task(self, task: WorkerTask, verb: bytes, attrs: bytes, prompt: bool) -> None:
        """Send an order or a probe; `attrs` is the rest of the JSON object."""
        connection, tag = self.pick([]), f"t{task.number}"
        task.connection = connection
        line = b'{"verb":"%s","rid":"%s"%s}\n' % (verb, tag.encode(), attrs)
        work = task if task.count else None  # asking, and probing, begins nothing
        if connection is None or not connection.send(tag, Line(task.number, lambda: line, work=work), prompt):
            self.core.host.task_ended(task.number, Outcome.REJECTED)

    def unload(self, function: str) -> None:
        """Have it drop a function; no reply is awaited."""
        if connection := self.pick([]):
            connection.linking.send(Line(0, lambda: b'{"verb":"FREE","rid":"%s"}\n' % function.encode()))


class RunnerPools:
    """All connections to runners. Calling it makes the `Runner` of a name and address."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        limits = configuration.platform.limits
        self.core, self.streams = core, limits.streams_per_conn
        self.report_names = configuration.report_names
        self.tells_company = bool(core.settings.reports_concurrency)
        idle = limits.conn_idle // MICROSECONDS
        self.idle = max(idle * 6 // 10, idle - 2 * SECOND)  # before the runner would
        self.most = configuration.file.limits.sockets * SOCKETS_PART[0] // SOCKETS_PART[1]
        self.connections = 0

    def __call__(self, name: str, address: Any, start: str = "") -> Runner:
        return Runner(self, name, address)

    def start(self) -> None:
        """Begin to close connections that idle."""
        self.core.after(SWEEP, self.sweep, None)

    def sweep(self, _: object) -> None:
        """Close what its runner is about to close."""
        for runner in self.core.runners.values():
            for connection in list(runner.connections):
                if connection.stale():
                    connection.close()
        self.core.after(SWEEP, self.sweep, None)

    def room(self) -> bool:
        """Whether one more may be opened; where none may, one that idles elsewhere makes room."""
        if self.connections < self.most:
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
        min(idle, key=lambda connection: connection.since).close()
        return True
