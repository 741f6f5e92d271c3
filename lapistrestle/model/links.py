"""The model's connections between clients, edges, runners and the roster: messages arrive after a latency.

The objects here replace connections: an edge's link to one start of a runner, a client's link to an edge, and
an edge's subscription to the roster. Messages are encoded only for the tape. When a runner dies, attempts,
preloads and health checks in flight to it end as reset; those sent to a runner that is not running end as
unreachable. Latencies are in seconds.
"""

from dataclasses import dataclass, field
from typing import Any

from lapistrestle.edge.clients import ClientConnection
from lapistrestle.edge.connection_state import ConnectionEvent
from lapistrestle.edge.runners import call_message, preload_message, report_reply
from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.policy.types import Outcome
from lapistrestle.sources.numbered_list import ListAction
from lapistrestle.standins.client import ClientPool, ClientRequest, EdgeLink
from lapistrestle.standins.runner import RunnerStandIn
from lapistrestle.standins.tape import Tape
from lapistrestle.wire import messages as wire


@dataclass
class Latencies:
    """One-way latencies within and between zones, in seconds."""

    same_zone: float = 0.00015
    across_zones: float = 0.0005
    zones: dict[str, str] = field(default_factory=dict)  # of edges and runners, by name

    def one_way(self, one: str, other: str) -> float:
        """Latency between two edges or runners, by their names."""
        same = self.zones.get(one, "") == self.zones.get(other, "")
        return self.same_zone if same else self.across_zones


class RecordedConnection:
    """Records one connection on the tape, if there is one, as the edge's peer would record it on a socket.

    `<`: received by the peer; `>`: sent by it. `who` describes the peer, such as `runner=` and `start=`.
    """

    def __init__(self, tape: Tape | None, connection: str, edge_name: str, **who: Any) -> None:
        self.tape, self.connection = tape, connection
        if tape is not None:
            tape.put(connection, "open", **who)
        self.put("<", wire.Hello("lapistrestle", wire.VERSION, edge_name))

    def put(self, sign: str, message: Any) -> None:
        """Record a message with its direction (`<` or `>`)."""
        if self.tape is not None:
            self.tape.put(self.connection, sign, line=wire.encode(message).decode())

    def close(self) -> None:
        """Record the end of the connection; only the first call does, and later messages are not recorded.

        For a runner that died, a second call comes when the roster reports it as gone.
        """
        if self.tape is not None:
            self.tape.put(self.connection, "close")
        self.tape = None


class RunnerLink(RecordedConnection):
    """An edge's link to one start of a runner; `runner` is None if none runs at that address.

    Implements `edge.core.RunnerHandle`. It is also its own `state_machine`: with no socket that may block, no
    line is ever queued.
    """

    def __init__(
        self, edge: Any, name: str, runner: RunnerStandIn | None, latency: float, tape: Tape | None = None
    ) -> None:
        self.edge, self.name, self.runner, self.latency = edge, name, runner, latency
        self.state_machine = self
        self.in_flight: dict[int, WorkerCall | WorkerTask] = {}
        self.later = edge.reactor.callLater
        self.later(2 * latency, self.connect)
        start = runner.start if runner is not None else ""
        super().__init__(tape, f"{start}/{edge.name}/{edge.link_count}", edge.name, runner=name, start=start)

    # interface of a runner's connection at the edge

    def step(self, event: ConnectionEvent) -> None:
        """Break the link when the runner is removed; other events don't occur here."""
        if event is ConnectionEvent.REMOVED:
            self.break_off()

    def discard_unsent(self) -> None:
        """Does nothing, as no line is queued here."""

    def connect(self) -> None:
        """Receive the runner's greeting; a dead runner sends none."""
        runner = self.runner
        if runner is None or runner.engine.dead:
            return
        runner.connections[self] = None  # type: ignore[index]
        hello = runner.hello()
        self.put(">", hello)
        self.edge.runner_greeted(self.name, hello)

    def is_reachable(self) -> bool:
        return self.runner is not None and not self.runner.engine.dead

    def send(self, task: WorkerCall | WorkerTask, message: Any) -> None:
        task.connection = self
        self.in_flight[task.number] = task
        self.later(self.latency, self.deliver, task.number, message)

    def deliver(self, number: int, message: Any) -> None:
        """Deliver a message to the runner; if it is not running, the attempt or task ends as unreachable."""
        if number not in self.in_flight:
            return
        if not self.is_reachable():
            self.later(self.latency, self.finish, number, Outcome.UNREACHABLE)
        else:
            assert self.runner is not None
            self.put("<", message)
            self.runner.handle(message, self, self.answer)

    def answer(self, reply: Any) -> None:
        """Send a reply of the runner to the edge."""
        self.put(">", reply)
        self.later(self.latency, self.on_reply, reply)

    def send_call(self, worker_call: WorkerCall) -> None:
        self.send(worker_call, call_message(worker_call, self.edge.clock()))

    def send_preload(self, task: WorkerTask) -> None:
        self.send(task, preload_message(task))

    def send_health_check(self, task: WorkerTask) -> None:
        self.send(task, wire.Probe(task.number))

    def unload(self, function: str) -> None:
        if self.is_reachable():
            assert self.runner is not None
            self.later(self.latency, self.runner.engine.unload, function)

    def cancel_unsent(self, number: int) -> bool:
        return False  # nothing is queued: a message is in flight as soon as it is sent

    def withdraw(self, number: int, notify: bool) -> bool:
        """Stop waiting for a reply; with `notify`, cancel at the runner. False: it may have been received."""
        if notify and self.is_reachable():
            assert self.runner is not None
            self.later(self.latency, self.cancelled, number)
        self.in_flight.pop(number, None)
        return False

    def cancelled(self, number: int) -> None:
        """The request to cancel arrives at the runner."""
        if self.is_reachable():
            assert self.runner is not None
            self.put("<", wire.Cancel(number))
            self.runner.handle(wire.Cancel(number), self, self.answer)

    def drop_connection(self) -> None: ...

    # messages of the runner

    def on_reply(self, reply: Any) -> None:
        """A reply arrives at the edge; one to nothing in flight is only counted."""
        host = self.edge.host
        match reply:
            case wire.RunFinished():
                number = reply.call_id
            case wire.PreloadResult():
                number = reply.preload_id
            case wire.ProbeResult():
                number = reply.probe_id
        if self.in_flight.pop(number, None) is not None:
            report_reply(host, reply)
        else:
            host.unmatched_reply()

    def finish(self, number: int, outcome: Outcome) -> None:
        """End an attempt or task that gets no reply, unless it has ended already."""
        if self.in_flight.pop(number, None) is not None:
            self.edge.host.finished_without_reply(number, outcome)

    def send_message(self, message: Any) -> None:
        """Send a message of the runner that is no reply; the edge handles only drain notices."""
        self.put(">", message)
        if isinstance(message, wire.Draining) and self.runner is not None:
            self.later(self.latency, self.edge.runner_draining, self.name, self.runner.start)

    def break_off(self) -> None:
        """The runner died or was removed: what is in flight may have run, and ends as reset."""
        self.close()
        for number in list(self.in_flight):
            self.later(self.latency, self.finish, number, Outcome.RESET)


class EdgeEnd(ClientConnection):
    """The edge's end of a client's link; its messages reach the client after the link's latency."""

    def __init__(self, edge: Any, link: "ModelLink") -> None:
        super().__init__(edge, link.number)
        self.link = link
        edge.client_connections[self] = None

    def send_message(self, message: Any) -> None:
        self.link.pool.reactor.callLater(self.link.latency, self.link.message_received, message)


class ModelLink(EdgeLink, RecordedConnection):
    """A client's link to one edge of the model, with its calls that are not answered yet by id."""

    def __init__(
        self, pool: ClientPool, edge: Any, number: int, latency: float, tape: Tape | None = None
    ) -> None:
        RecordedConnection.__init__(self, tape, f"{edge.name}/client", "", edge=edge.name)
        self.pool, self.edge, self.number, self.latency = pool, edge.name, number, latency
        self.put("<", wire.Hello("lapistrestle", wire.VERSION, connection_name=f"c{number}"))
        self.open_calls: dict[str, tuple[ClientRequest, Any]] = {}
        self.stopped = self.closed = False
        self.edge_end = EdgeEnd(edge, self)
        self.active_connection = self  # type: ignore[assignment]

    def send_message(self, message: Any) -> None:
        self.put(">", message)
        self.pool.reactor.callLater(self.latency, self.edge_end.message_received, message)

    def message_received(self, message: Any) -> None:
        self.put("<", message)
        match message:
            case wire.Answer():
                self.on_answer(message.id, message.verdict, message.retry_after / 1000)
            case wire.Fault():
                self.on_answer(message.id, "fault", 0.0)


class Subscription(RecordedConnection):
    """An edge's subscription to the roster: a snapshot, then the changes, each after the latency."""

    def __init__(self, edge: Any, roster: Any, latency: float, tape: Tape | None = None) -> None:
        super().__init__(tape, f"roster/{edge.name}", edge.name, roster=True)
        self.edge, self.roster, self.latency = edge, roster, latency

    def start(self) -> None:
        self.later(self.subscribe)

    def later(self, call: Any, *args: Any) -> None:
        self.edge.reactor.callLater(self.latency, call, *args)

    def subscribe(self) -> None:
        self.roster.subscribers[self] = None
        self.send_message(self.roster.snapshot())

    def send_message(self, message: Any) -> None:
        self.put(">", message)
        self.later(self.message_received, message)

    def message_received(self, message: Any) -> None:
        if self.edge.list_received(message) is ListAction.REQUEST_SNAPSHOT:
            self.later(self.subscribe)

    def break_off(self) -> None:
        """End the subscription and subscribe again, as the roster restarted."""
        self.roster.subscribers.pop(self, None)
        self.later(self.subscribe)
