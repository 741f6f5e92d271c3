"""The tape put together: which call led to which runs, what each edge was told of each runner, and when.

Times are milliseconds since the day began. Lines that can't be read stand for nothing: the peers could not
read them either.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lapistrestle.checks.directory import DirectoryStory, Epochs
from lapistrestle.wire import directory as directory_wire
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import message_decoder

TO_EDGE = {
    "client": message_decoder(wire.FromClient),
    "runner": message_decoder(wire.FromRunner),
    "roster": message_decoder(wire.FromRoster),
    "directory": message_decoder(directory_wire.FromHolder),
}
FROM_EDGE = {
    "client": message_decoder(wire.ToClient),
    "runner": message_decoder(wire.ToRunner),
    "roster": message_decoder(wire.ToRoster),
    "directory": message_decoder(directory_wire.FromWatcher),
}
NEVER = float("inf")


@dataclass(eq=False)
class Run:
    """A call-out as the runner's socket saw it."""

    line: int
    at: float
    edge: str
    start: str
    connection: str
    message: wire.Run
    call: "Call | None" = None
    ends: list[tuple[float, int, str]] = field(default_factory=list)  # time, line, outcome
    called_off: float = NEVER
    broke: float = NEVER

    def proven_unrun(self, at: float) -> bool:
        """Whether the runner had said, by then, that it did not run."""
        return any(when <= at and outcome in ("full", "miss") for when, _, outcome in self.ends)

    def over(self, grace: float) -> float:
        """When the edge may count it as over: an end, the connection's, a cancel, or its time-out."""
        ended = min((when for when, _, _ in self.ends), default=NEVER)
        return min(ended, self.broke, self.called_off, self.at + self.message.timeout - grace)


@dataclass(eq=False)
class Call:
    """An RPC as the client's socket saw it."""

    line: int
    at: float
    edge: str
    connection: str
    message: wire.Call
    answers: list[tuple[float, int, wire.Answer]] = field(default_factory=list)
    begun: float = NEVER
    faulted: bool = False
    left: float = NEVER  # when the client said that it waits no longer
    closed: float = NEVER  # when the connection ended
    runs: list[Run] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.at + self.message.timeout

    def first_answer(self) -> float:
        return self.answers[0][0] if self.answers else NEVER


@dataclass(eq=False)
class Hold:
    line: int
    at: float
    edge: str
    start: str
    message: wire.PreloadRequest


@dataclass(eq=False)
class Boot:
    """One start of a runner."""

    start: str
    runner: str
    at: float
    cores: float
    speed: float
    share: float
    zone: str = ""
    cell: int = 0
    fell: float = NEVER
    ended: float = NEVER


@dataclass(eq=False)
class Connection:
    name: str
    kind: str
    edge: str = ""
    start: str = ""
    runner: str = ""
    you: str = ""
    opened: float = 0.0
    closed: float = NEVER
    unread: list[tuple[float, float]] = field(default_factory=list)


@dataclass(eq=False)
class Wish:
    """What a client wanted, over all its tries."""

    key: str
    at: float
    method: str
    customer: str
    work: float
    answered: float = NEVER


@dataclass
class Told:
    """What an edge, or a directory's holder, was told of a runner's start: `drains` from then on, or about
    its start. `by_roster`: by whoever tells it the list, and not by the runner."""

    line: int
    at: float
    drains: bool
    by_roster: bool


class Story:
    """Everything on one tape."""

    def __init__(self, tape: Iterable[dict[str, Any]]) -> None:
        self.texts: dict[int, str] = {}
        self.connections: dict[str, Connection] = {}
        self.calls: list[Call] = []
        self.open: dict[tuple[str, str], Call] = {}  # edge and tag
        self.runs: list[Run] = []
        self.out: dict[tuple[str, int], Run] = {}  # connection and number
        self.holds: list[Hold] = []
        self.boots: dict[str, Boot] = {}
        self.wishes: dict[str, Wish] = {}
        self.effects: list[tuple[float, int, str, str, int | None, Run | None]] = []
        self.told: dict[tuple[str, str], list[Told]] = {}  # edge or holder, and start
        # by edge or holder: runner to the start that it was last told of
        self.lists: dict[str, dict[str, str]] = {}
        self.epochs = Epochs()
        self.directory = DirectoryStory(self.epochs, self.lists, self.directory_told)
        self.cuts: dict[tuple[str, str], list[tuple[float, float]]] = {}  # edge and holder
        self.stalls: dict[str, list[tuple[float, float]]] = {}
        self.kills: dict[str, list[float]] = {}
        self.backs: list[tuple[float, int, str]] = []  # when it was accepted, line, version
        # by version: not in force before, in force at the latest, share
        self.shares: dict[str, list[tuple[float, float, float]]] = {}
        self.troubles: list[tuple[float, str, float]] = []
        self.began = 0.0  # when clients began to want something
        self.end = 0.0
        lines = iter(tape)
        self.header = next(lines, {})
        if self.header.get("tape") != 1:
            raise ValueError("no tape: the first line is no header")
        for number, event in enumerate(lines, 2):
            self.take(number, event)
        self.finish()

    def take(self, number: int, event: dict[str, Any]) -> None:
        at, what, on = event["at"] / 1000, event["is"], event["on"]
        self.end = max(self.end, at)
        match what:
            case ">" | "<":
                if not event.get("cut"):
                    self.line(number, at, on, what == ">", event["line"])
            case "open":
                kind = next((k for k in ("roster", "runner", "directory") if k in event), "client")
                self.connections[on] = Connection(
                    on, kind, event.get("edge", ""), event.get("start", ""), event.get("runner", "")
                )
                self.connections[on].opened = at
                if kind == "directory":
                    self.directory.opened(on, event["edge"], event["holder"])
            case "close":
                self.connections[on].closed = at
                self.directory.closed(on, at)
            case "cut":
                self.cuts.setdefault((event["edge"], event["holder"]), []).append((at, NEVER))
            case "healed":
                cuts = self.cuts[event["edge"], event["holder"]]
                cuts[-1] = (cuts[-1][0], at)
            case "boot":
                self.boots[on] = Boot(on, event["runner"], at, event["cores"], event["speed"], event["share"])
            case "place":
                self.boots[on].zone, self.boots[on].cell = event["zone"], event["cell"]
            case "fell":
                self.boots[on].fell = at
            case "end":
                self.boots[on].ended = at
            case "wish":
                self.wishes[on] = Wish(on, at, event["method"], event["customer"], event["work"])
            case "effect":
                run = self.out.get((on, event["call"]))
                self.effects.append((at, number, event["key"], event["method"], event["token"], run))
            case "stalled":
                self.stalls.setdefault(on, []).append((at, NEVER))
            case "resumed":
                self.stalls[on][-1] = (self.stalls[on][-1][0], at)
            case "killed":
                self.kills.setdefault(on, []).append(at)
            case "unread":
                self.connections[on].unread.append((at, NEVER))
            case "reads":
                paused = self.connections[on].unread
                paused[-1] = (paused[-1][0], at)
            case "back":
                self.backs.append((at, number, event["version"]))
            case "share":
                told = self.shares.setdefault(event["version"], [])
                told.append((event["since"] / 1000, at, event["share"]))
            case "begins":
                self.began = at
            case "trouble":
                self.troubles.append((at, event["kind"], event["lasts"]))

    def line(self, number: int, at: float, on: str, to_edge: bool, text: str) -> None:
        connection = self.connections[on]
        decoder = (TO_EDGE if to_edge else FROM_EDGE)[connection.kind]
        try:
            message = decoder.decode(text.encode("utf-8", "surrogateescape"))
        except (msgspec.MsgspecError, UnicodeError):
            return
        self.texts[number] = text if len(text) <= 300 else text[:297] + "..."
        if connection.kind == "directory":
            self.directory.line(number, at, on, message)
        elif isinstance(message, wire.Hello) and not to_edge:
            if connection.kind == "client":
                connection.you = message.connection_name
            else:
                connection.edge = message.name
                if connection.kind == "runner":
                    self.tell(connection.edge, connection.start, Told(number, at, False, False))
        elif connection.kind == "client":
            self.client(number, at, connection, message)
        elif connection.kind == "runner":
            self.runner(number, at, connection, message)
        elif isinstance(message, wire.RosterSnapshot | wire.RosterUpdate):
            self.roster(number, at, connection, message)

    def client(self, number: int, at: float, connection: Connection, message: Any) -> None:
        key = (connection.edge, f"{connection.you}/{getattr(message, 'id', '')}")
        call = self.open.get(key)
        match message:
            case wire.Call():
                made = Call(number, at, connection.edge, connection.name, message)
                if call is not None and not call.answers and call.left == NEVER:
                    return  # the same id while open: no RPC comes of it
                self.open[key] = made
                self.calls.append(made)
            case wire.CancelRequest() if call is not None:
                call.left = min(call.left, at)
            case wire.Answer() if call is not None:
                call.answers.append((at, number, message))
                wish = self.wishes.get(call.message.key)
                if wish is not None and message.verdict == "ok":
                    wish.answered = min(wish.answered, at)
            case wire.StreamStarted() if call is not None:
                call.begun = min(call.begun, at)
            case wire.Fault() if call is not None:
                call.faulted = True

    def runner(self, number: int, at: float, connection: Connection, message: Any) -> None:
        match message:
            case wire.Run():
                call = self.open.get((connection.edge, message.request))
                run = Run(number, at, connection.edge, connection.start, connection.name, message, call)
                self.runs.append(run)
                self.out[connection.name, message.call_id] = run
                if call is not None:
                    call.runs.append(run)
            case wire.Cancel():
                run_ = self.out.get((connection.name, message.call_id))
                if run_ is not None:
                    run_.called_off = min(run_.called_off, at)
            case wire.PreloadRequest() if message.count > 0:
                self.holds.append(Hold(number, at, connection.edge, connection.start, message))
            case wire.RunFinished():
                run_ = self.out.get((connection.name, message.call_id))
                if run_ is not None:
                    run_.ends.append((at, number, message.outcome))
            case wire.Draining():
                self.tell(connection.edge, connection.start, Told(number, at, True, False))

    def roster(self, number: int, at: float, connection: Connection, message: Any) -> None:
        known = self.lists.setdefault(connection.edge, {})
        self.epochs.met(message.epoch)
        if isinstance(message, wire.RosterSnapshot):
            named = {entry.name for entry in message.workers}
            for name in [n for n in known if n not in named]:
                self.tell(connection.edge, known.pop(name), Told(number, at, True, True))
        for entry in message.workers:
            before = known.get(entry.name, entry.start)
            if before != entry.start:
                self.tell(connection.edge, before, Told(number, at, True, True))
            known[entry.name] = entry.start
            drains = entry.listing != "serving"
            self.tell(connection.edge, entry.start, Told(number, at, drains, True))
            if entry.listing == "gone":
                del known[entry.name]

    def tell(self, edge: str, start: str, told: Told) -> None:
        self.told.setdefault((edge, start), []).append(told)

    def directory_told(self, number: int, at: float, edge: str, start: str, drains: bool) -> None:
        """A holder's word to an edge binds as the roster's would."""
        self.tell(edge, start, Told(number, at, drains, True))

    def finish(self) -> None:
        self.directory.finish(self.end)
        for call in self.calls:
            call.closed = self.connections[call.connection].closed
        for run in self.runs:
            run.broke = self.connections[run.connection].closed

    # asked by the rules

    def read_at(self, edge: str, at: float) -> float:
        """When an edge could act on what reached its socket then: not while it stood still."""
        for begin, end in self.stalls.get(edge, ()):
            if begin <= at < end:
                return end
        return at

    def stood_still(self, edge: str, begin: float, end: float) -> bool:
        return any(b < end and begin < e for b, e in self.stalls.get(edge, ()))

    def killed(self, edge: str, begin: float, end: float) -> bool:
        kills = self.kills.get(edge, [])
        return bisect_right(kills, end) > bisect_right(kills, begin)
