"""One connection to a runner of the platform: JSON lines over a socket. `edge.linking` decides what becomes
of lines; placing, repeats and health are the module's."""

import binascii
import socket
from base64 import b64decode
from typing import TYPE_CHECKING

from lapistrestle.edge.core import Core
from lapistrestle.edge.linking import Input, Line, Link, LinkCallbacks, Linking
from lapistrestle.hosting.requests import NO_REPORT, WorkerCall, WorkerTask
from lapistrestle.node.configuration import split
from lapistrestle.node.replies import ATTEMPTS, NO_ATTRS, ORDERS, PROBES, Attrs, Reply, reply_of, report_of
from lapistrestle.node.streams import Stream, dial
from lapistrestle.policy.interface import Outcome

if TYPE_CHECKING:
    from lapistrestle.node.runners import Runner

LINE = 131_072  # bytes of the longest line taken: a body of 16 KiB in base64 several times over
PROMPT = 300  # tenths of a millisecond that an order may wait for its connection; its window is seconds
NO_CALLBACKS = LinkCallbacks()


class Socket(Stream):
    """The descriptor beneath a connection to a runner."""

    def __init__(self, connection: "RunnerConnection", sock: socket.socket) -> None:
        super().__init__(connection.core.reactor, sock, dialled=True)
        self.connection = connection

    def made(self) -> None:
        """The connection is up."""
        self.connection.linking.step(Input.GREETED)

    def pieces(self) -> int:
        """How many reads are made of it at once."""
        return self.connection.core.pieces()

    def received(self, data: bytes) -> None:
        """Bytes came."""
        self.connection.received(data)

    def drained(self) -> None:
        """All that waited to be written is."""
        self.connection.linking.step(Input.EASED)

    def lost(self, why: str) -> None:
        """It is gone."""
        self.connection.lost()


class RunnerConnection(LinkCallbacks):
    """One connection to a runner."""

    def __init__(self, runner: "Runner") -> None:
        self.runner, self.pools = runner, runner.pools
        self.core: Core = runner.core
        self.linking = Linking(runner.name, self, lambda _: None, self.core.clock, prompt=PROMPT)
        self.stream: Socket | None = None
        self.rest = b""
        self.by_rid: dict[str, int] = {}
        self.rids: dict[int, str] = {}
        self.since = self.core.clock()  # of its last use
        self.unsent = set[int]()  # once lost: what was not written whole

    def load(self) -> int:
        """Lines that wait here, and those whose end is awaited."""
        return len(self.linking.out) + len(self.linking.waiting)

    def send(self, rid: str, line: Line, prompt: bool = False) -> bool:
        """Send a line as soon as the connection is up, with `prompt` within PROMPT; False if it can't be
        taken."""
        self.since = self.core.clock()
        self.by_rid[rid], self.rids[line.number] = line.number, rid
        if self.linking.send(line, prompt):
            return True
        self.forget(line.number)
        return False

    def stale(self) -> bool:
        """Unused for so long that the runner is about to close it."""
        idle = self.core.clock() - self.since > self.pools.idle
        return idle and self.linking.state is Link.OPEN and not self.load()

    def forget(self, number: int) -> None:
        """Drop the request id of a number."""
        rid = self.rids.pop(number, None)
        if rid is not None and self.by_rid.get(rid) == number:
            del self.by_rid[rid]

    def cancel_unsent(self, number: int) -> bool:
        """Drop a line that was not written. True if it never left, and now never does."""
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

    def end_tasks(self) -> None:
        """The runner is gone, or another process stands under its name: what this one may still say of its
        loads is nothing that the module should believe of what follows, and nobody waits for it."""
        for number in [number for number in self.rids if number in self.core.host.tasks]:
            self.withdraw(number, False)
            self.core.host.task_ended(number, Outcome.NOT_SENT)

    # what comes

    def received(self, data: bytes) -> None:
        """Bytes came: whole lines are handled, the rest is kept."""
        self.core.input()
        lines = (self.rest + data if self.rest else data).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            if self.stream is None:
                return
            if not self.heard(line):
                return self.protocol_error("a line that can't be read")
        if len(self.rest) > LINE:
            self.protocol_error("a line without end")

    def protocol_error(self, why: str) -> None:
        """What follows a bad line can't be trusted: everything on this connection may have run."""
        self.core.passed_over(self.runner.name, why)
        if self.stream is not None:
            self.stream.drop(why)

    def heard(self, line: bytes) -> bool:
        """False if the line is no reply."""
        reply = reply_of(line)
        if reply is None:
            return False
        number = self.by_rid.get(reply.rid)
        if number is None:
            self.core.host.unmatched_reply()
            return True
        attrs = reply.attrs or NO_ATTRS
        try:
            if number in self.core.host.worker_calls:
                return self.attempt_ended(number, reply, attrs)
            return self.task_ended(number, reply, attrs)
        except (ValueError, OverflowError, binascii.Error):
            return False

    def end(self, number: int) -> None:
        """A reply has come: nothing more is awaited under this number."""
        self.since = self.core.clock()
        self.forget(number)
        self.linking.ended(number)

    def attempt_ended(self, number: int, reply: Reply, attrs: Attrs) -> bool:
        """The reply to an attempt; False if it is none. Raises ValueError, OverflowError, binascii.Error."""
        outcome = ATTEMPTS.get(reply.verb)
        if outcome is None:
            return False
        body = b64decode(reply.content or "", validate=True) if outcome is Outcome.OK else b""
        told = self.pools.tells_company and outcome in (Outcome.OK, Outcome.REJECTED)
        company = int(attrs.company) if told else None
        report = report_of(attrs.use, self.pools.report_names) if attrs.use else NO_REPORT
        if outcome is Outcome.NOT_SENT:  # the runner had it, so it counts as a try
            self.core.host.worker_calls[number].pending.prior_attempts += 1
        self.end(number)
        self.core.host.ended(number, outcome, body, company=company, report=report)
        return True

    def task_ended(self, number: int, reply: Reply, attrs: Attrs) -> bool:
        """The reply to an order or a probe; False if it is none. Raises ValueError, OverflowError."""
        if reply.verb in PROBES:
            report = report_of(attrs.use, self.pools.report_names)
            self.end(number)
            self.core.host.probed(number, PROBES[reply.verb], report)
        elif reply.verb in ORDERS:
            count = int(attrs.slots_up)
            self.end(number)
            self.core.host.ordered(number, ORDERS[reply.verb], count)
        else:
            return False
        return True

    def lost(self) -> None:
        """The connection is gone."""
        self.core.input()
        stream, self.stream, self.rest = self.stream, None, b""
        if stream is None:
            return
        self.runner.remove(self)
        self.unsent = {mark for _, mark in stream.unsent if mark}
        self.linking.step(Input.FAILED if self.linking.state is Link.DIALING else Input.BROKE)
        self.release()

    def release(self) -> None:
        """It and its linking point to each other, and the collector hardly ever runs: guards a long life
        against growth with every connection."""
        self.linking.callbacks = NO_CALLBACKS

    # what the linking asks (LinkCallbacks)

    def dial(self) -> None:
        """Begin to connect."""
        try:
            self.stream = Socket(self, dial(*split(self.runner.address[0])))
        except OSError:
            self.core.after(1, self.undialled, None)
            return
        self.stream.begin()
        self.core.after(self.core.settings.connect_timeout, self.stream.unmade, None)

    def undialled(self, _: object) -> None:
        """No socket could be had."""
        self.runner.remove(self)
        self.linking.step(Input.FAILED)
        self.release()

    def may_begin(self, work: WorkerCall | WorkerTask) -> bool:
        """Whether new work may begin to leave for the runner now."""
        return self.core.gate.may_begin(work, self.runner)

    def write(self, line: bytes, number: int = 0) -> bool:
        """Write a line; False if none of it left. What waits after it slows the link down."""
        if self.stream is None:
            return False
        left = self.stream.offer(line, number)
        if not left or (self.stream is not None and self.stream.unsent):
            self.linking.step(Input.SLOWED)
        return left

    def close(self) -> None:
        """Close it: it is no longer needed."""
        stream, self.stream = self.stream, None
        self.runner.remove(self)
        if stream is not None:
            stream.drop("no longer needed")
        self.release()

    def ask(self, delay: int) -> None: ...  # a lost connection is not dialled anew: another is, when needed

    def never_left(self, numbers: list[int]) -> None:
        """The connection did not come up."""
        for number in numbers:
            self.lose(number, Outcome.UNREACHABLE)

    def not_sent(self, numbers: list[int]) -> None:
        """Held back: the runner serves no more, or nobody waits for it. It says nothing of the runner."""
        for number in numbers:
            self.lose(number, Outcome.NOT_SENT)

    def broke(self, numbers: list[int]) -> None:
        """What was not written whole never ran, what was may have."""
        for number in numbers:
            self.lose(number, Outcome.UNREACHABLE if number in self.unsent else Outcome.RESET)

    def lose(self, number: int, outcome: Outcome) -> None:
        """End an attempt or a task without a reply."""
        self.forget(number)
        self.core.host.ended_without_reply(number, outcome)
