"""Reconstructs a run from its tape: which call led to which attempts, and what each edge knew of each runner.

Times are milliseconds since the start of the day. Lines that can't be decoded are skipped: the receiving
program could not decode them either.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lapistrestle.checks.directory import DirectoryTrace, EpochOrder
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
class Attempt:
    """One attempt to run a call, as seen at the runner's socket."""

    line: int
    at: float
    edge: str
    start: str
    connection: str
    message: wire.Run
    call: "Call | None" = None
    results: list[tuple[float, int, str]] = field(default_factory=list)  # time, line, outcome
    cancelled_at: float = NEVER
    disconnected_at: float = NEVER

    def known_not_run(self, at: float) -> bool:
        """Whether the runner had reported by then that the attempt did not run: it had no room for it
        ("full"), or no copy of the function ("miss")."""
        return any(when <= at and outcome in ("full", "miss") for when, _, outcome in self.results)

    def over_at(self, grace: float) -> float:
        """From when the edge may treat the attempt as over: its result, the loss of the connection, a cancel
        or its timeout. The timeout counts from when the edge sent the attempt, up to `grace` milliseconds
        before it was seen here."""
        ended = min((when for when, _, _ in self.results), default=NEVER)
        return min(ended, self.disconnected_at, self.cancelled_at, self.at + self.message.timeout - grace)


@dataclass(eq=False)
class Call:
    """An RPC as seen at the client's socket."""

    line: int
    at: float
    edge: str
    connection: str
    message: wire.Call
    answers: list[tuple[float, int, wire.Answer]] = field(default_factory=list)
    stream_started_at: float = NEVER
    got_fault: bool = False
    client_gone_at: float = NEVER  # when the client cancelled the call
    disconnected_at: float = NEVER  # when the connection ended
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.at + self.message.timeout

    def first_answered_at(self) -> float:
        return self.answers[0][0] if self.answers else NEVER


@dataclass(eq=False)
class Preload:
    """A request to preload a function, as seen at the runner's socket."""

    line: int
    at: float
    edge: str
    start: str
    message: wire.PreloadRequest


@dataclass(eq=False)
class RunnerStart:
    """One start of a runner. Times in milliseconds."""

    start: str  # id of this start, such as "plain-0#1", by which all other records refer to it
    runner: str
    at: float
    cores: float
    speed: float
    initial_speed: float  # part of its full speed at the start; 1 without slow start
    zone: str = ""
    cell: int = 0
    collapsed_at: float = NEVER
    ended_at: float = NEVER


@dataclass(eq=False)
class Connection:
    """One connection on the tape. `kind`: client, runner, roster or directory."""

    name: str
    kind: str
    edge: str = ""
    start: str = ""
    runner: str = ""
    client_name: str = ""
    opened: float = 0.0
    closed: float = NEVER
    # periods in which the client did not read
    unread_periods: list[tuple[float, float]] = field(default_factory=list)


@dataclass(eq=False)
class ClientRequest:
    """What a client wanted once, over all its attempts."""

    key: str
    at: float
    method: str
    customer: str
    work: float
    answered_at: float = NEVER


@dataclass
class Notification:
    """What an edge or a directory's holder learned about a runner's start: that it serves, or that it drains
    or is gone (`draining`). `from_list`: from its source of the endpoint list, not from the runner itself."""

    line: int
    at: float
    draining: bool
    from_list: bool


class Trace:
    """Everything on one tape, by call, attempt, runner and edge."""

    def __init__(self, tape: Iterable[dict[str, Any]]) -> None:
        self.texts: dict[int, str] = {}  # lines of the tape, shortened, by number
        self.connections: dict[str, Connection] = {}
        self.calls: list[Call] = []
        self.open_calls: dict[tuple[str, str], Call] = {}  # by edge, and connection and id of the call
        self.attempts: list[Attempt] = []
        self.attempts_by_number: dict[tuple[str, int], Attempt] = {}  # by connection and number
        self.preloads: list[Preload] = []
        self.runner_starts: dict[str, RunnerStart] = {}
        self.client_requests: dict[str, ClientRequest] = {}
        # time, line, key of the client's request, method, idempotency token, attempt
        self.effects: list[tuple[float, int, str, str, int | None, Attempt | None]] = []
        # by edge or holder, and start of the runner
        self.notifications: dict[tuple[str, str], list[Notification]] = {}
        # by edge or holder: the latest known start of each runner
        self.known_starts: dict[str, dict[str, str]] = {}
        self.epochs = EpochOrder()
        self.directory = DirectoryTrace(self.epochs, self.known_starts, self.on_holder_message)
        self.cuts: dict[tuple[str, str], list[tuple[float, float]]] = {}  # periods, by edge and holder
        self.stalls: dict[str, list[tuple[float, float]]] = {}  # periods, by edge or holder
        self.kills: dict[str, list[float]] = {}  # times, by edge or holder
        self.withdrawals: list[tuple[float, int, str]] = []  # time of acceptance, line, version
        # by version: earliest and latest time at which the share took effect, and the share
        self.shares: dict[str, list[tuple[float, float, float]]] = {}
        self.faults: list[tuple[float, str, float]] = []  # start, kind, duration
        self.traffic_started_at = 0.0  # when the clients' traffic started
        self.end = 0.0
        lines = iter(tape)
        self.header = next(lines, {})
        if self.header.get("tape") != 1:
            raise ValueError("no tape: the first line is no header")
        for number, event in enumerate(lines, 2):
            self.add_event(number, event)
        self.finish()

    def add_event(self, number: int, event: dict[str, Any]) -> None:
        """Adds an event of the tape; `on` names the connection, runner's start, edge, holder or client
        request that it is about. Other kinds of events are of no use to the rules and ignored."""
        at, event_type, on = event["at"] / 1000, event["is"], event["on"]
        self.end = max(self.end, at)
        match event_type:
            case ">" | "<":
                if not event.get("cut"):
                    self.add_line(number, at, on, event_type == ">", event["line"])
            case "open":
                kind = next((k for k in ("roster", "runner", "directory") if k in event), "client")
                self.connections[on] = Connection(
                    on, kind, event.get("edge", ""), event.get("start", ""), event.get("runner", "")
                )
                self.connections[on].opened = at
                if kind == "directory":
                    self.directory.on_opened(on, event["edge"], event["holder"])
            case "close":
                self.connections[on].closed = at
                self.directory.on_closed(on, at)
            case "cut":
                self.cuts.setdefault((event["edge"], event["holder"]), []).append((at, NEVER))
            case "healed":
                cuts = self.cuts[event["edge"], event["holder"]]
                cuts[-1] = (cuts[-1][0], at)
            case "boot":
                self.runner_starts[on] = RunnerStart(
                    on, event["runner"], at, event["cores"], event["speed"], event["share"]
                )
            case "place":
                self.runner_starts[on].zone, self.runner_starts[on].cell = event["zone"], event["cell"]
            case "fell":
                self.runner_starts[on].collapsed_at = at
            case "end":
                self.runner_starts[on].ended_at = at
            case "wish":
                self.client_requests[on] = ClientRequest(
                    on, at, event["method"], event["customer"], event["work"]
                )
            case "effect":
                attempt = self.attempts_by_number.get((on, event["call"]))
                self.effects.append((at, number, event["key"], event["method"], event["token"], attempt))
            case "stalled":
                self.stalls.setdefault(on, []).append((at, NEVER))
            case "resumed":
                self.stalls[on][-1] = (self.stalls[on][-1][0], at)
            case "killed":
                self.kills.setdefault(on, []).append(at)
            case "unread":
                self.connections[on].unread_periods.append((at, NEVER))
            case "reads":
                intervals = self.connections[on].unread_periods
                intervals[-1] = (intervals[-1][0], at)
            case "back":
                self.withdrawals.append((at, number, event["version"]))
            case "share":
                share_periods = self.shares.setdefault(event["version"], [])
                share_periods.append((event["since"] / 1000, at, event["share"]))
            case "begins":
                self.traffic_started_at = at
            case "trouble":
                self.faults.append((at, event["kind"], event["lasts"]))

    def add_line(self, number: int, at: float, on: str, to_edge: bool, text: str) -> None:
        connection = self.connections[on]
        decoder = (TO_EDGE if to_edge else FROM_EDGE)[connection.kind]
        try:
            message = decoder.decode(text.encode("utf-8", "surrogateescape"))
        except (msgspec.MsgspecError, UnicodeError):
            return
        self.texts[number] = text if len(text) <= 300 else text[:297] + "..."
        if connection.kind == "directory":
            self.directory.add_line(number, at, on, message)
        elif isinstance(message, wire.Hello) and not to_edge:
            if connection.kind == "client":
                connection.client_name = message.connection_name
            else:
                connection.edge = message.name
                if connection.kind == "runner":
                    self.notify(connection.edge, connection.start, Notification(number, at, False, False))
        elif connection.kind == "client":
            self.on_client_message(number, at, connection, message)
        elif connection.kind == "runner":
            self.on_runner_message(number, at, connection, message)
        elif isinstance(message, wire.RosterSnapshot | wire.RosterUpdate):
            self.on_roster_message(number, at, connection, message)

    def on_client_message(self, number: int, at: float, connection: Connection, message: Any) -> None:
        key = (connection.edge, f"{connection.client_name}/{getattr(message, 'id', '')}")
        open_call = self.open_calls.get(key)
        match message:
            case wire.Call():
                new_call = Call(number, at, connection.edge, connection.name, message)
                if open_call is not None and not open_call.answers and open_call.client_gone_at == NEVER:
                    return  # an id that is still in use: the edge answers with a fault, no RPC starts
                self.open_calls[key] = new_call
                self.calls.append(new_call)
            case wire.CancelRequest() if open_call is not None:
                open_call.client_gone_at = min(open_call.client_gone_at, at)
            case wire.Answer() if open_call is not None:
                open_call.answers.append((at, number, message))
                client_request = self.client_requests.get(open_call.message.key)
                if client_request is not None and message.verdict == "ok":
                    client_request.answered_at = min(client_request.answered_at, at)
            case wire.StreamStarted() if open_call is not None:
                open_call.stream_started_at = min(open_call.stream_started_at, at)
            case wire.Fault() if open_call is not None:
                open_call.got_fault = True

    def on_runner_message(self, number: int, at: float, connection: Connection, message: Any) -> None:
        match message:
            case wire.Run():
                call = self.open_calls.get((connection.edge, message.request))
                attempt = Attempt(
                    number, at, connection.edge, connection.start, connection.name, message, call
                )
                self.attempts.append(attempt)
                self.attempts_by_number[connection.name, message.call_id] = attempt
                if call is not None:
                    call.attempts.append(attempt)
            case wire.Cancel():
                found = self.attempts_by_number.get((connection.name, message.call_id))
                if found is not None:
                    found.cancelled_at = min(found.cancelled_at, at)
            case wire.PreloadRequest() if message.count > 0:
                self.preloads.append(Preload(number, at, connection.edge, connection.start, message))
            case wire.RunFinished():
                found = self.attempts_by_number.get((connection.name, message.call_id))
                if found is not None:
                    found.results.append((at, number, message.outcome))
            case wire.Draining():
                self.notify(connection.edge, connection.start, Notification(number, at, True, False))

    def on_roster_message(self, number: int, at: float, connection: Connection, message: Any) -> None:
        known = self.known_starts.setdefault(connection.edge, {})
        self.epochs.add(message.epoch)
        if isinstance(message, wire.RosterSnapshot):
            named = {entry.name for entry in message.workers}
            for name in [n for n in known if n not in named]:
                self.notify(connection.edge, known.pop(name), Notification(number, at, True, True))
        for entry in message.workers:
            previous_start = known.get(entry.name, entry.start)
            if previous_start != entry.start:
                self.notify(connection.edge, previous_start, Notification(number, at, True, True))
            known[entry.name] = entry.start
            drains = entry.listing != "serving"
            self.notify(connection.edge, entry.start, Notification(number, at, drains, True))
            if entry.listing == "gone":
                del known[entry.name]

    def notify(self, edge: str, start: str, notification: Notification) -> None:
        self.notifications.setdefault((edge, start), []).append(notification)

    def on_holder_message(self, number: int, at: float, edge: str, start: str, drains: bool) -> None:
        """With a directory, a holder's message to an edge counts like one of the roster."""
        self.notify(edge, start, Notification(number, at, drains, True))

    def finish(self) -> None:
        self.directory.finish(self.end)
        for call in self.calls:
            call.disconnected_at = self.connections[call.connection].closed
        for attempt in self.attempts:
            attempt.disconnected_at = self.connections[attempt.connection].closed

    # queries of the rules

    def can_act_at(self, edge: str, at: float) -> float:
        """When an edge could act on input that arrived at `at`: at the end of a stall, if it was stalled."""
        for begin, end in self.stalls.get(edge, ()):
            if begin <= at < end:
                return end
        return at

    def was_stalled(self, edge: str, begin: float, end: float) -> bool:
        return any(b < end and begin < e for b, e in self.stalls.get(edge, ()))

    def was_killed(self, edge: str, begin: float, end: float) -> bool:
        """Whether the edge was killed after `begin` and not after `end`."""
        kills = self.kills.get(edge, [])
        return bisect_right(kills, end) > bisect_right(kills, begin)
