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


@dataclass
class ClientBehaviour:
    """How clients behave. Times in seconds."""

    retries: int = 2
    wait: float = 0.2  # least retry delay; it is up to twice as long
    patience: tuple[float, float] = (0.5, 1.0)  # an attempt is given up after this part of the deadline
    marks: bool = True  # retries are marked
    heeds: bool = True  # retry_after is respected
    abuse: float = 0.0  # share of RPCs whose client retries at once, up to 30 attempts


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
    scope: str
    deadline: float  # seconds for all attempts together
    started_at: float
    tries: int = 0
    abuses: bool = False


class ClientSpeaker(TapedConnection):
    """The client's end of a connection to an edge."""

    protocol = wire.CLIENT
    decoder = message_decoder(wire.ToClient)

    def __init__(self, line: "EdgeLink", name: str) -> None:
        super().__init__(LineLimits(), line.pool.reactor, line.pool.tape, line.weather, name)
        self.line = line

    def connectionMade(self) -> None:
        self.opened(edge=self.line.edge)
        super().connectionMade()

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, "stand-in")

    def greeting_received(self, hello: wire.Hello) -> None:
        self.line.up = self

    def message_received(self, message: Any) -> None:
        match message:
            case wire.Answer():
                self.line.answered(message.id, message.verdict, message.retry_after / 1000)
            case wire.Fault():
                self.line.answered(message.id, "fault", 0.0)

    def connection_lost(self) -> None:
        self.line.lost(self)


class EdgeLink(ClientFactory):
    """A client's link to one edge, which reconnects when the connection breaks."""

    noisy = False

    def __init__(self, crowd: "ClientPool", edge: str, port: Callable[[], int]) -> None:
        self.pool, self.edge, self.port, self.count = crowd, edge, port, 0
        self.up: ClientSpeaker | None = None
        self.open: dict[str, tuple[ClientRequest, Any]] = {}
        self.weather = NetworkFaults(seed=7)
        self.stopped = False
        self.dial()

    def dial(self) -> None:
        if not self.stopped:
            if self.port():
                self.pool.reactor.connectTCP("127.0.0.1", self.port(), self, timeout=0.5)
            else:
                self.pool.reactor.callLater(0.1, self.dial)

    def buildProtocol(self, addr: Any) -> ClientSpeaker:
        self.count += 1
        return ClientSpeaker(self, f"{self.edge}/client{self.count}")

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.pool.reactor.callLater(0.1, self.dial)

    def lost(self, speaker: ClientSpeaker) -> None:
        """Calls that were open here may have run: they are retried only if that is safe."""
        if self.up is speaker:
            self.up = None
        tries, self.open = self.open, {}
        for wish, timer in tries.values():
            timer.cancel()
            if wish.effect == "idempotent" or (wish.effect == "tokened" and wish.scope == "all"):
                self.pool.again(wish, 0.0)
            else:
                self.pool.gave_up(wish)
        self.pool.reactor.callLater(0.1, self.dial)

    def send(self, wish: ClientRequest) -> None:
        assert self.up is not None
        crowd, now = self.pool, self.pool.reactor.seconds()
        wish.tries += 1
        left = min(wish.deadline * crowd.random.uniform(*crowd.behaviour.patience), self.left(wish, now))
        name = f"{wish.key}.{wish.tries}"
        self.open[name] = (wish, crowd.reactor.callLater(left, self.give_up, name))
        self.up.send_message(
            wire.Call(
                name,
                wish.function,
                wish.method,
                round(left * 1000, 1),
                wish.customer,
                wish.memory,
                wish.lanes,
                wish.hint,
                bool(crowd.behaviour.marks and wish.tries > 1),
                wish.token,
                wish.key,
                msgspec.Raw(msgspec.json.encode({"work": wish.work})),
            )
        )

    def left(self, wish: ClientRequest, now: float) -> float:
        return max(0.001, wish.started_at + wish.deadline - now)

    def give_up(self, name: str) -> None:
        """The attempt has taken too long: the client cancels it."""
        wish, _ = self.open.pop(name)
        if self.up is not None:
            self.up.send_message(wire.CancelRequest(name))
        if wish.effect == "idempotent" or (wish.effect == "tokened" and wish.scope == "all"):
            self.pool.again(wish, 0.0)
        else:
            self.pool.gave_up(wish)

    def answered(self, name: str, verdict: str, retry_after: float) -> None:
        found = self.open.pop(name, None)
        if found is None:
            return
        wish, timer = found
        timer.cancel()
        self.pool.on_verdict(wish, verdict, retry_after)


class ClientPool:
    """All clients of a day: spreads requests over the connected edges, and retries."""

    def __init__(self, reactor: Any, habits: ClientBehaviour, seed: int, tape: Tape | None = None) -> None:
        self.reactor, self.behaviour, self.tape = reactor, habits, tape
        self.random = random.Random(seed)
        self.links: list[EdgeLink] = []
        self.turn = 0
        self.counts = dict.fromkeys(("wishes", "ok", "given up", "tries"), 0)
        self.open = 0
        self.ended: Callable[[ClientRequest, bool], None] = lambda wish, ok: None

    def submit(self, wish: ClientRequest) -> None:
        self.counts["wishes"] += 1
        self.open += 1
        if self.tape is not None:
            self.tape.put(wish.key, "wish", method=wish.method, customer=wish.customer, work=wish.work)
        self.attempt(wish)

    def attempt(self, wish: ClientRequest) -> None:
        """Sends to the next connected edge; where none is connected the client tries again soon."""
        if self.reactor.seconds() >= wish.started_at + wish.deadline:
            return self.gave_up(wish)
        for _ in self.links:
            self.turn += 1
            line = self.links[self.turn % len(self.links)]
            if line.up is not None and not line.up.closed:
                self.counts["tries"] += 1
                return line.send(wish)
        self.reactor.callLater(0.1, self.attempt, wish)

    def on_verdict(self, wish: ClientRequest, verdict: str, retry_after: float) -> None:
        if verdict == "ok":
            self.counts["ok"] += 1
            self.open -= 1
            self.ended(wish, True)
        elif verdict == "denied" or (
            (verdict == "aborted" and (wish.effect, wish.scope) in RETRIED) or wish.effect == "idempotent"
        ):
            self.again(wish, retry_after if self.behaviour.heeds else 0.0)
        else:
            self.gave_up(wish)

    def again(self, wish: ClientRequest, retry_after: float) -> None:
        wait = self.behaviour.wait * self.random.uniform(1, 2)
        if wish.abuses and wish.tries < 30:
            self.reactor.callLater(0.005, self.attempt, wish)
        elif wish.tries <= self.behaviour.retries:
            self.reactor.callLater(max(wait, retry_after), self.attempt, wish)
        else:
            self.gave_up(wish)

    def gave_up(self, wish: ClientRequest) -> None:
        self.counts["given up"] += 1
        self.open -= 1
        self.ended(wish, False)


RETRIED = {("tokened", "all")}
