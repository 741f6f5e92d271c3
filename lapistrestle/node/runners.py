"""The speech of the platform's runners: JSON lines over a pool of connections to each. `edge.linking` decides
what becomes of lines; placing, repeats and health are the module's."""

import binascii
import socket
from base64 import b64decode, b64encode
from typing import Any

import msgspec

from lapistrestle.edge.core import Core
from lapistrestle.edge.linking import Input, Link, Linking, Rim
from lapistrestle.hosting.requests import NO_REPORT, Attempt, WorkerTask
from lapistrestle.interface import Outcome
from lapistrestle.node.place import Place, split
from lapistrestle.node.streams import Stream, dial

LINE = 131_072  # bytes of the longest line taken: a body of 16 KiB in base64 several times over
PROMPT = 300  # tenths of a millisecond that an order may wait for its connection; its window is seconds
EACH_MOST = 16  # connections to one runner: one bad answer ends all that its connection carries
SECOND = 10_000
USABLE = (Link.OPEN, Link.DIALING, Link.SLOW)

RUNS = {
    "200": Outcome.OK, "404": Outcome.MISS, "503": Outcome.FULL, "500": Outcome.ERROR, "504": Outcome.MOOT,
}  # fmt: skip
ORDERS = {"200": Outcome.OK, "503": Outcome.FULL, "500": Outcome.ERROR}
PROBES = {"alive": Outcome.OK, "dead": Outcome.ERROR}

Figure = int | float | str


class Attrs(msgspec.Struct):
    company: Figure = 0
    slots_up: Figure = 0
    use: str = ""


NO_ATTRS = Attrs()
NO_RIM = Rim()


class Said(msgspec.Struct):
    """An answer of a runner."""

    verb: str
    rid: str
    attrs: Attrs | None = None
    content: str | None = None


SAID = msgspec.json.Decoder(Said)


def report_of(use: str, names: dict[str, str]) -> dict[str, float]:
    """The figures of a load report under the names that the module knows. Raises ValueError."""
    found: dict[str, float] = {}
    for entry in use.split(";"):
        name, _, figure = entry.partition(":")
        if name in names:
            found[names[name]] = float(figure)
    return found


class Socket(Stream):
    """The descriptor beneath a connection to a runner."""

    def __init__(self, connection: "RunnerConnection", sock: socket.socket) -> None:
        super().__init__(connection.core.reactor, sock, dialled=True)
        self.connection = connection

    def made(self) -> None:
        self.connection.linking.step(Input.GREETED)

    def pieces(self) -> int:
        return self.connection.core.pieces()

    def received(self, data: bytes) -> None:
        self.connection.received(data)

    def drained(self) -> None:
        self.connection.linking.step(Input.EASED)

    def lost(self, why: str) -> None:
        self.connection.lost()


class RunnerConnection(Rim):
    """One connection to a runner."""

    def __init__(self, runner: "Runner") -> None:
        self.runner, self.speech = runner, runner.speech
        self.core: Core = runner.core
        self.linking = Linking(runner.name, self, lambda _: None, self.core.clock, prompt=PROMPT)
        self.stream: Socket | None = None
        self.rest = b""
        self.by_rid: dict[str, int] = {}
        self.rids: dict[int, str] = {}
        self.since = self.core.clock()  # of its last use
        self.unsent = set[int]()  # once lost: what was not written whole

    def load(self) -> int:
        return len(self.linking.out) + len(self.linking.waiting)

    def send(
        self, number: int, rid: str, line: bytes, prompt: bool = False, until: int | None = None
    ) -> bool:
        self.since = self.core.clock()
        self.by_rid[rid], self.rids[number] = number, rid
        if self.linking.send(number, line, prompt=prompt, until=until):
            return True
        self.forget(number)
        return False

    def stale(self) -> bool:
        """Unused for so long that the runner is about to close it."""
        idle = self.core.clock() - self.since > self.speech.idle
        return idle and self.linking.state is Link.OPEN and not self.load()

    def forget(self, number: int) -> None:
        rid = self.rids.pop(number, None)
        if rid is not None and self.by_rid.get(rid) == number:
            del self.by_rid[rid]

    def cancel_unsent(self, number: int) -> bool:
        if self.linking.cancel_unsent(number):
            self.forget(number)
            return True
        return False

    def withdraw(self, number: int, tell: bool) -> bool:
        """Wait no longer for this number; True if its line never left. `tell` the runner otherwise."""
        rid = self.rids.get(number)
        self.forget(number)
        if self.linking.withdraw(number):
            return True
        if tell and rid is not None and self.stream is not None:
            self.stream.send(b'{"verb":"STOP","rid":"%s"}\n' % rid.encode())
        return False

    def end_errands(self) -> None:
        """The runner is gone, or another process stands under its name: what this one may still say of its
        loads is nothing that the module should believe of what follows, and nobody waits for it."""
        for number in [number for number in self.rids if number in self.core.host.tasks]:
            self.withdraw(number, False)
            self.core.host.task_ended(number, Outcome.MOOT)

    # what comes

    def received(self, data: bytes) -> None:
        self.core.input()
        lines = (self.rest + data if self.rest else data).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            if self.stream is None:
                return
            if not self.heard(line):
                return self.spoilt("a line that can't be read")
        if len(self.rest) > LINE:
            self.spoilt("a line without end")

    def spoilt(self, why: str) -> None:
        """What follows a bad line can't be trusted: everything on this connection may have run."""
        self.core.passed_over(self.runner.name, why)
        if self.stream is not None:
            self.stream.drop(why)

    def heard(self, line: bytes) -> bool:
        """False if the line is no answer."""
        try:
            said = SAID.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return False
        if said.verb not in RUNS and said.verb not in PROBES:
            return False
        number = self.by_rid.get(said.rid)
        if number is None:
            self.core.host.unmatched_reply()
            return True
        attrs = said.attrs or NO_ATTRS
        try:
            if number in self.core.host.attempts:
                return self.ran(number, said, attrs)
            return self.task_ended(number, said, attrs)
        except (ValueError, OverflowError, binascii.Error):
            return False

    def end(self, number: int) -> None:
        self.since = self.core.clock()
        self.forget(number)
        self.linking.ended(number)

    def ran(self, number: int, said: Said, attrs: Attrs) -> bool:
        outcome = RUNS.get(said.verb)
        if outcome is None:
            return False
        body = b64decode(said.content or "", validate=True) if outcome is Outcome.OK else b""
        told = self.speech.company and outcome in (Outcome.OK, Outcome.FULL)
        company = int(attrs.company) if told else None
        report = report_of(attrs.use, self.speech.names) if attrs.use else NO_REPORT
        if outcome is Outcome.MOOT:  # the runner had it, so it counts as a try
            self.core.host.attempts[number].pending.prior_attempts += 1
        self.end(number)
        self.core.host.ended(number, outcome, body, company=company, report=report)
        return True

    def task_ended(self, number: int, said: Said, attrs: Attrs) -> bool:
        if said.verb in PROBES:
            report = report_of(attrs.use, self.speech.names)
            self.end(number)
            self.core.host.probed(number, PROBES[said.verb], report)
        elif said.verb in ORDERS:
            count = int(attrs.slots_up)
            self.end(number)
            self.core.host.ordered(number, ORDERS[said.verb], count)
        else:
            return False
        return True

    def lost(self) -> None:
        self.core.input()
        stream, self.stream, self.rest = self.stream, None, b""
        if stream is None:
            return
        self.runner.left(self)
        self.unsent = {mark for _, mark in stream.unsent if mark}
        self.linking.step(Input.FAILED if self.linking.state is Link.DIALING else Input.BROKE)
        self.let_go()

    def let_go(self) -> None:
        """It and its linking point to each other, and the collector hardly ever runs: guards a long life
        against growth with every connection."""
        self.linking.rim = NO_RIM

    # what the linking asks (Rim)

    def dial(self) -> None:
        try:
            self.stream = Socket(self, dial(*split(self.runner.address[0])))
        except OSError:
            self.core.after(1, self.undialled, None)
            return
        self.stream.begin()
        self.core.after(self.core.facts["dial_time_out"], self.stream.unmade, None)

    def undialled(self, _: object) -> None:
        self.runner.left(self)
        self.linking.step(Input.FAILED)
        self.let_go()

    def write(self, line: bytes, number: int = 0) -> bool:
        if self.stream is None:
            return False
        left = self.stream.offer(line, number)
        if not left or (self.stream is not None and self.stream.unsent):
            self.linking.step(Input.SLOWED)
        return left

    def close(self) -> None:
        stream, self.stream = self.stream, None
        self.runner.left(self)
        if stream is not None:
            stream.drop("no longer needed")
        self.let_go()

    def ask(self, delay: int) -> None: ...  # a lost connection is not dialled anew: another is, when needed

    def never_left(self, numbers: list[int]) -> None:
        for number in numbers:
            self.lose(number, Outcome.UNREACHABLE)

    def not_sent(self, numbers: list[int]) -> None:
        for number in numbers:
            self.lose(number, Outcome.MOOT)

    def broke(self, numbers: list[int]) -> None:
        """What was not written whole never ran, what was may have."""
        for number in numbers:
            self.lose(number, Outcome.UNREACHABLE if number in self.unsent else Outcome.RESET)

    def lose(self, number: int, outcome: Outcome) -> None:
        self.forget(number)
        self.core.host.ended_without_reply(number, outcome)


class Runner:
    """One start of a runner at one address, and the pool of connections to it."""

    def __init__(self, speech: "Speech", name: str, address: tuple[str, int]) -> None:
        self.speech, self.core, self.name, self.address = speech, speech.core, name, address
        self.connections: list[RunnerConnection] = []

    # what the core tells

    def named(self) -> None: ...  # dialled when first needed: most runners are never met by most dispatchers

    def dropped(self) -> None:
        for connection in list(self.connections):
            connection.end_errands()
            connection.linking.step(Input.DROPPED)

    def hold_back(self) -> None:
        for connection in list(self.connections):
            connection.linking.hold_back()

    def end(self) -> None:
        for connection in list(self.connections):
            connection.close()

    # the pool

    def left(self, connection: RunnerConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.speech.connections -= 1

    def open_one(self) -> RunnerConnection | None:
        if len(self.connections) >= EACH_MOST or not self.speech.room():
            return None
        connection = RunnerConnection(self)
        self.connections.append(connection)
        self.speech.connections += 1
        connection.linking.step(Input.WANTED)
        return connection

    def pick(self, used: list[Any]) -> RunnerConnection | None:
        """The connection with the least on it, made or about to be; where that one is busy a further one is
        opened beside it, so that a bad answer ends little else."""
        best: RunnerConnection | None = None
        least, dialling = self.speech.streams, False
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
                held += len(linking.waiting) + 16  # what waits there waits longer
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

    def run(self, attempt: Attempt) -> None:
        pending, asked = attempt.pending, attempt.pending.message
        connection = self.pick(asked.used)
        line = b'{"verb":"RUN","rid":"%s","attrs":{%s,"budget":%d%s},"content":"%s"}\n' % (
            asked.id, asked.head, max(1, attempt.time_out // 10), asked.key, b64encode(asked.body),
        )  # fmt: skip
        attempt.connection = connection
        number, until = attempt.number, attempt.begin_by
        if connection is None or not connection.send(number, pending.tag, line, until=until):
            return self.core.host.ended(attempt.number, Outcome.FULL)
        asked.used.append(connection)

    def hold(self, task: WorkerTask) -> None:
        assert task.fn is not None
        attrs = b'{"path":"%s","slots_up":%d}' % (task.fn.name.encode(), task.count)
        self.send_task(task, b"HOLD", b',"attrs":' + attrs, task.count > 0)

    def probe(self, task: WorkerTask) -> None:
        self.send_task(task, b"INFO", b"", False)

    def send_task(self, task: WorkerTask, verb: bytes, attrs: bytes, prompt: bool) -> None:
        connection, tag = self.pick([]), f"t{task.number}"
        task.connection = connection
        line = b'{"verb":"%s","rid":"%s"%s}\n' % (verb, tag.encode(), attrs)
        if connection is None or not connection.send(task.number, tag, line, prompt):
            self.core.host.task_ended(task.number, Outcome.FULL)

    def unload(self, fn: str) -> None:
        if connection := self.pick([]):
            connection.linking.send(0, b'{"verb":"FREE","rid":"%s"}\n' % fn.encode(), owed=False)


class Speech:
    """All connections to runners."""

    def __init__(self, core: Core, place: Place) -> None:
        limits = place.told.limits
        self.core, self.streams = core, limits.streams_per_conn
        self.names = place.report_names
        self.company = bool(core.facts["tells_company"])
        idle = limits.conn_idle // 100
        self.idle = max(idle * 6 // 10, idle - 2 * SECOND)  # before the runner would
        self.most = place.file.limits.sockets * 2 // 5
        self.connections = 0

    def __call__(self, name: str, address: Any, start: str = "") -> Runner:
        return Runner(self, name, address)

    def start(self) -> None:
        self.core.after(SECOND, self.sweep, None)

    def sweep(self, _: object) -> None:
        for runner in self.core.runners.values():
            for connection in list(runner.connections):
                if connection.stale():
                    connection.close()
        self.core.after(SECOND, self.sweep, None)

    def room(self) -> bool:
        """Whether one more may be opened; where none may, one that idles elsewhere makes room."""
        if self.connections < self.most:
            return True
        idle = [
            w for r in self.core.runners.values() if len(r.connections) > 1
            for w in r.connections if w.linking.state is Link.OPEN and not w.load()
        ]  # fmt: skip
        if not idle:
            return False
        min(idle, key=lambda w: w.since).close()
        return True
