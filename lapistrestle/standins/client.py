"""Clients: send calls, give up after a time, and retry."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory

from lapistrestle.standins.tape import Tape
from lapistrestle.standins.taped_connection import NetworkFaults, TapedConnection
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder

CONNECT_TIMEOUT = 0.5  # seconds
CONNECT_RETRY_DELAY = 0.1  # seconds before a client connects again, or looks again for a connected edge
ABUSIVE_ATTEMPTS = 30  # attempts at most of a client that retries at once
ABUSIVE_RETRY_DELAY = 0.005  # seconds


@dataclass
class ClientBehaviour:
    """How clients behave. Times in seconds."""

    retries: int = 2
    retry_delay: float = 0.2  # least retry delay; it is up to twice as long
    patience: tuple[float, float] = (0.5, 1.0)  # an attempt is given up after this part of the deadline
    marks_retries: bool = True  # retries are marked
    respects_retry_after: bool = True  # retry_after is respected
    abuse: float = 0.0  # share of RPCs whose client retries at once, up to `ABUSIVE_ATTEMPTS`


@dataclass(eq=False)
class ClientRequest:
    """What a client wants once, over all its attempts."""

    key: str
    function: str
    method: str
    customer: str
    memory: float
    lanes: int
    work: float  # true work in milliseconds
    hint: float | None  # hint of the work in milliseconds
    token: int | None
    effect: str
    token_scope: str
    deadline: float  # seconds for all attempts together
    started_at: float
    attempts: int = 0
    retries_at_once: bool = False


class ClientSideConnection(TapedConnection):
    """The client's end of a connection to an edge."""

    protocol = wire.CLIENT
    decoder = message_decoder(wire.ToClient)

    def __init__(self, link: "EdgeLink", name: str) -> None:
        super().__init__(LineLimits(), link.pool.reactor, link.pool.tape, link.faults, name)
        self.link = link

    def connectionMade(self) -> None:
        self.record_open(edge=self.link.edge)
        super().connectionMade()

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, "stand-in")

    def greeting_received(self, hello: wire.Hello) -> None:
        self.link.active_connection = self

    def message_received(self, message: Any) -> None:
        match message:
            case wire.Answer():
                self.link.on_answer(message.id, message.verdict, message.retry_after / 1000)
            case wire.Fault():
                self.link.on_answer(message.id, "fault", 0.0)

    def connection_lost(self) -> None:
        self.link.on_disconnected(self)


class EdgeLink(ClientFactory):
    """A client's link to one edge, which reconnects when the connection breaks."""

    noisy = False

    def __init__(self, pool: "ClientPool", edge: str, port: Callable[[], int]) -> None:
        self.pool, self.edge, self.port, self.count = pool, edge, port, 0
        self.active_connection: ClientSideConnection | None = None
        self.open_calls: dict[str, tuple[ClientRequest, Any]] = {}
        self.faults = NetworkFaults(seed=7)
        self.stopped = False
        self.connect()

    def connect(self) -> None:
        if not self.stopped:
            if self.port():
                self.pool.reactor.connectTCP("127.0.0.1", self.port(), self, timeout=CONNECT_TIMEOUT)
            else:
                self.pool.reactor.callLater(CONNECT_RETRY_DELAY, self.connect)

    def buildProtocol(self, addr: Any) -> ClientSideConnection:
        self.count += 1
        return ClientSideConnection(self, f"{self.edge}/client{self.count}")

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.pool.reactor.callLater(CONNECT_RETRY_DELAY, self.connect)

    def on_disconnected(self, connection: ClientSideConnection) -> None:
        """Calls that were open here may have run: they are retried only if that is safe."""
        if self.active_connection is connection:
            self.active_connection = None
        open_calls, self.open_calls = self.open_calls, {}
        for request, timer in open_calls.values():
            timer.cancel()
            if request.effect == "idempotent" or (
                request.effect == "tokened" and request.token_scope == "all"
            ):
                self.pool.retry(request, 0.0)
            else:
                self.pool.fail(request)
        self.pool.reactor.callLater(CONNECT_RETRY_DELAY, self.connect)

    def send(self, request: ClientRequest) -> None:
        assert self.active_connection is not None
        pool, now = self.pool, self.pool.reactor.seconds()
        request.attempts += 1
        timeout = min(
            request.deadline * pool.random.uniform(*pool.behaviour.patience), self.time_left(request, now)
        )
        call_id = f"{request.key}.{request.attempts}"
        self.open_calls[call_id] = (request, pool.reactor.callLater(timeout, self.give_up, call_id))
        self.active_connection.send_message(
            wire.Call(
                call_id,
                request.function,
                request.method,
                round(timeout * 1000, 1),
                request.customer,
                request.memory,
                request.lanes,
                request.hint,
                bool(pool.behaviour.marks_retries and request.attempts > 1),
                request.token,
                request.key,
                msgspec.Raw(msgspec.json.encode({"work": request.work})),
            )
        )

    def time_left(self, request: ClientRequest, now: float) -> float:
        return max(0.001, request.started_at + request.deadline - now)

    def give_up(self, call_id: str) -> None:
        """The attempt has taken too long: the client cancels it."""
        request, _ = self.open_calls.pop(call_id)
        if self.active_connection is not None:
            self.active_connection.send_message(wire.CancelRequest(call_id))
        if request.effect == "idempotent" or (request.effect == "tokened" and request.token_scope == "all"):
            self.pool.retry(request, 0.0)
        else:
            self.pool.fail(request)

    def on_answer(self, call_id: str, verdict: str, retry_after: float) -> None:
        entry = self.open_calls.pop(call_id, None)
        if entry is None:
            return
        request, timer = entry
        timer.cancel()
        self.pool.on_verdict(request, verdict, retry_after)


class ClientPool:
    """All clients of a day: spreads requests over the connected edges, and retries."""

    def __init__(self, reactor: Any, behaviour: ClientBehaviour, seed: int, tape: Tape | None = None) -> None:
        self.reactor, self.behaviour, self.tape = reactor, behaviour, tape
        self.random = random.Random(seed)
        self.links: list[EdgeLink] = []
        self.next_link = 0
        self.counts = dict.fromkeys(("wishes", "ok", "given up", "tries"), 0)
        self.open = 0
        self.on_finished: Callable[[ClientRequest, bool], None] = lambda request, ok: None

    def submit(self, request: ClientRequest) -> None:
        self.counts["wishes"] += 1
        self.open += 1
        if self.tape is not None:
            self.tape.put(
                request.key, "wish", method=request.method, customer=request.customer, work=request.work
            )
        self.attempt(request)

    def attempt(self, request: ClientRequest) -> None:
        """Sends to the next connected edge; where none is connected the client tries again soon."""
        if self.reactor.seconds() >= request.started_at + request.deadline:
            return self.fail(request)
        for _ in self.links:
            self.next_link += 1
            link = self.links[self.next_link % len(self.links)]
            if link.active_connection is not None and not link.active_connection.closed:
                self.counts["tries"] += 1
                return link.send(request)
        self.reactor.callLater(CONNECT_RETRY_DELAY, self.attempt, request)

    def on_verdict(self, request: ClientRequest, verdict: str, retry_after: float) -> None:
        if verdict == "ok":
            self.counts["ok"] += 1
            self.open -= 1
            self.on_finished(request, True)
        elif verdict == "denied" or (
            (verdict == "aborted" and (request.effect, request.token_scope) in RETRIED_IF_ABORTED)
            or request.effect == "idempotent"
        ):
            self.retry(request, retry_after if self.behaviour.respects_retry_after else 0.0)
        else:
            self.fail(request)

    def retry(self, request: ClientRequest, retry_after: float) -> None:
        wait = self.behaviour.retry_delay * self.random.uniform(1, 2)
        if request.retries_at_once and request.attempts < ABUSIVE_ATTEMPTS:
            self.reactor.callLater(ABUSIVE_RETRY_DELAY, self.attempt, request)
        elif request.attempts <= self.behaviour.retries:
            self.reactor.callLater(max(wait, retry_after), self.attempt, request)
        else:
            self.fail(request)

    def fail(self, request: ClientRequest) -> None:
        self.counts["given up"] += 1
        self.open -= 1
        self.on_finished(request, False)


RETRIED_IF_ABORTED = {("tokened", "all")}
