"""Clients: send calls, give up, and come back by their habits."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory

from lapistrestle.standins.tape import Tape
from lapistrestle.standins.taped import TapedSpeaker, Weather
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder


@dataclass
class Habits:
    """How clients behave. Times in seconds."""

    retries: int = 2
    wait: float = 0.2  # before a further try, up to twice that
    patience: tuple[float, float] = (0.5, 1.0)  # a try is given up after this part of the deadline
    marks: bool = True  # repeats are marked
    heeds: bool = True  # the time to come back
    abuse: float = 0.0  # share of RPCs whose client repeats at once and without end


@dataclass(eq=False)
class Wish:
    """What a client wants once, over all its tries."""

    key: str
    function: str
    method: str
    customer: str
    memory: float
    lanes: int
    work: float  # milliseconds, true
    hint: float | None
    token: int | None
    effect: str
    scope: str
    deadline: float  # seconds for all tries
    began: float
    tries: int = 0
    abuses: bool = False


class ClientSpeaker(TapedSpeaker):
    protocol = wire.CLIENT
    decoder = message_decoder(wire.ToClient)

    def __init__(self, line: "Line", name: str) -> None:
        super().__init__(LineLimits(), line.crowd.reactor, line.crowd.tape, line.weather, name)
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


class Line(ClientFactory):
    """A client's connection to one edge, made anew when it breaks."""

    noisy = False

    def __init__(self, crowd: "Crowd", edge: str, port: Callable[[], int]) -> None:
        self.crowd, self.edge, self.port, self.count = crowd, edge, port, 0
        self.up: ClientSpeaker | None = None
        self.open: dict[str, tuple[Wish, Any]] = {}
        self.weather = Weather(seed=7)
        self.stopped = False
        self.dial()

    def dial(self) -> None:
        if not self.stopped:
            if self.port():
                self.crowd.reactor.connectTCP("127.0.0.1", self.port(), self, timeout=0.5)
            else:
                self.crowd.reactor.callLater(0.1, self.dial)

    def buildProtocol(self, addr: Any) -> ClientSpeaker:
        self.count += 1
        return ClientSpeaker(self, f"{self.edge}/client{self.count}")

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.crowd.reactor.callLater(0.1, self.dial)

    def lost(self, speaker: ClientSpeaker) -> None:
        """What was open here may have run: it is tried again only where that is harmless."""
        if self.up is speaker:
            self.up = None
        tries, self.open = self.open, {}
        for wish, timer in tries.values():
            timer.cancel()
            if wish.effect == "idempotent" or (wish.effect == "tokened" and wish.scope == "all"):
                self.crowd.again(wish, 0.0)
            else:
                self.crowd.gave_up(wish)
        self.crowd.reactor.callLater(0.1, self.dial)

    def send(self, wish: Wish) -> None:
        assert self.up is not None
        crowd, now = self.crowd, self.crowd.reactor.seconds()
        wish.tries += 1
        left = min(wish.deadline * crowd.random.uniform(*crowd.habits.patience), self.left(wish, now))
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
                bool(crowd.habits.marks and wish.tries > 1),
                wish.token,
                wish.key,
                msgspec.Raw(msgspec.json.encode({"work": wish.work})),
            )
        )

    def left(self, wish: Wish, now: float) -> float:
        return max(0.001, wish.began + wish.deadline - now)

    def give_up(self, name: str) -> None:
        """The try has taken too long; the client says so."""
        wish, _ = self.open.pop(name)
        if self.up is not None:
            self.up.send_message(wire.CancelRequest(name))
        if wish.effect == "idempotent" or (wish.effect == "tokened" and wish.scope == "all"):
            self.crowd.again(wish, 0.0)
        else:
            self.crowd.gave_up(wish)

    def answered(self, name: str, verdict: str, retry_after: float) -> None:
        found = self.open.pop(name, None)
        if found is None:
            return
        wish, timer = found
        timer.cancel()
        self.crowd.verdict(wish, verdict, retry_after)


class Crowd:
    """All clients of a day: spreads wishes over the edges that answer, and comes back by habit."""

    def __init__(self, reactor: Any, habits: Habits, seed: int, tape: Tape | None = None) -> None:
        self.reactor, self.habits, self.tape = reactor, habits, tape
        self.random = random.Random(seed)
        self.lines: list[Line] = []
        self.turn = 0
        self.counts = dict.fromkeys(("wishes", "ok", "given up", "tries"), 0)
        self.open = 0
        self.ended: Callable[[Wish, bool], None] = lambda wish, ok: None

    def want(self, wish: Wish) -> None:
        self.counts["wishes"] += 1
        self.open += 1
        if self.tape is not None:
            self.tape.put(wish.key, "wish", method=wish.method, customer=wish.customer, work=wish.work)
        self.attempt(wish)

    def attempt(self, wish: Wish) -> None:
        """The next edge that answers; where none does the client waits a little."""
        if self.reactor.seconds() >= wish.began + wish.deadline:
            return self.gave_up(wish)
        for _ in self.lines:
            self.turn += 1
            line = self.lines[self.turn % len(self.lines)]
            if line.up is not None and not line.up.closed:
                self.counts["tries"] += 1
                return line.send(wish)
        self.reactor.callLater(0.1, self.attempt, wish)

    def verdict(self, wish: Wish, verdict: str, retry_after: float) -> None:
        if verdict == "ok":
            self.counts["ok"] += 1
            self.open -= 1
            self.ended(wish, True)
        elif verdict == "denied" or (
            (verdict == "aborted" and (wish.effect, wish.scope) in RETRIED) or wish.effect == "idempotent"
        ):
            self.again(wish, retry_after if self.habits.heeds else 0.0)
        else:
            self.gave_up(wish)

    def again(self, wish: Wish, retry_after: float) -> None:
        wait = self.habits.wait * self.random.uniform(1, 2)
        if wish.abuses and wish.tries < 30:
            self.reactor.callLater(0.005, self.attempt, wish)
        elif wish.tries <= self.habits.retries:
            self.reactor.callLater(max(wait, retry_after), self.attempt, wish)
        else:
            self.gave_up(wish)

    def gave_up(self, wish: Wish) -> None:
        self.counts["given up"] += 1
        self.open -= 1
        self.ended(wish, False)


RETRIED = {("tokened", "all")}
