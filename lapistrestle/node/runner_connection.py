"""One connection to a runner of the platform: JSON lines over a socket. `edge.linking` decides what becomes
of lines; placing, repeats and health are the module's.
"""

import binascii
import socket
from base64 import b64decode
from typing import Protocol

from lapistrestle.edge.core import Core
from lapistrestle.edge.linking import Input, Line, Link, LinkCallbacks, Linking
from lapistrestle.hosting.requests import NO_REPORT, WorkerCall, WorkerTask
from lapistrestle.node.configuration import split_address
from lapistrestle.node.replies import (
    ATTEMPT_OUTCOMES,
    HEALTH_CHECK_OUTCOMES,
    NO_ATTRIBUTES,
    PRELOAD_OUTCOMES,
    Reply,
    ReplyAttributes,
    parse_load_report,
    parse_reply,
)
from lapistrestle.node.streams import Stream, dial
from lapistrestle.policy.types import Outcome

MAX_LINE = 131_072  # bytes of the longest line taken: a body of 16 KiB in base64 several times over
PRELOAD_WAIT = (
    300  # tenths of a millisecond that a preload may wait for its connection; its window is seconds
)
NO_CALLBACKS = LinkCallbacks()


class ReplySettings(Protocol):
    """What holds for the connections to all runners."""

    idle_limit: int  # tenths of a millisecond without use after which a connection is closed
    report_names: dict[str, str]  # of a load report's figures, to the names that the module knows
    reports_concurrency: bool  # whether replies tell how many calls ran beside one


class ConnectionPool(Protocol):
    """What a connection needs of its pool: whose it is, and to be taken out when it is closed."""

    core: Core
    name: str
    address: tuple[str, int]  # "host:port", and when the runner started, in Unix milliseconds

    @property
    def pools(self) -> ReplySettings:
        """What holds for the connections to all runners."""

    def remove(self, connection: "RunnerConnection") -> None:
        """It is closed, or was lost."""


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

    def lost(self, reason: str) -> None:
        """It is gone."""
        self.connection.lost()


class RunnerConnection(LinkCallbacks):
    """One connection to a runner."""

    def __init__(self, runner: ConnectionPool) -> None:
        self.runner = runner
        self.pools = runner.pools
        self.core: Core = runner.core
        self.linking = Linking(runner.name, self, lambda _: None, self.core.clock, prompt=PRELOAD_WAIT)
        self.stream: Socket | None = None
        self.buffer = b""
        self.by_rid: dict[str, int] = {}
        self.rids: dict[int, str] = {}
        self.last_used = self.core.clock()  # of its last use
        self.unsent_numbers = set[int]()  # once lost: what was not written whole

    def load(self) -> int:
        """Lines that wait here, and those whose end is awaited."""
        return len(self.linking.out) + len(self.linking.waiting)

    def send(self, rid: str, line: Line, prompt: bool = False) -> bool:
        """Send a line as soon as the connection is up, with `prompt` within PRELOAD_WAIT.

        False if it can't be taken.
        """
        self.last_used = self.core.clock()
        self.by_rid[rid] = line.number
        self.rids[line.number] = rid
        if self.linking.send(line, prompt):
            return True
        self.forget(line.number)
        return False

    def is_stale(self) -> bool:
        """Unused for so long that the runner is about to close it."""
        idle = self.core.clock() - self.last_used > self.pools.idle_limit
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

    def withdraw(self, number: int, notify: bool) -> bool:
        """Wait no longer for this number; True if its line never left. `notify` the runner otherwise."""
        rid = self.rids.get(number)
        self.forget(number)
        if self.linking.withdraw(number):
            return True
        if notify and rid is not None and self.stream is not None:
            self.stream.send(b'{"verb":"STOP","rid":"%s"}\n' % rid.encode())
        return False

    def end_tasks(self) -> None:
        """The runner is gone, or another process stands under its name: what this one may still say of its
        loads is nothing that the module should believe of what follows, and nobody waits for it.
        """
        for number in [number for number in self.rids if number in self.core.host.tasks]:
            self.withdraw(number, False)
            self.core.host.task_finished_without_reply(number, Outcome.NOT_SENT)

    def received(self, data: bytes) -> None:
        """Bytes came: complete lines are handled, the rest is kept."""
        self.core.input()
        lines = (self.buffer + data if self.buffer else data).split(b"\n")
        self.buffer = lines.pop()
        for line in lines:
            if self.stream is None:
                return
            if not self.handle_line(line):
                self.protocol_error("a line that can't be read")
                return
        if len(self.buffer) > MAX_LINE:
            self.protocol_error("a line without end")

    def protocol_error(self, reason: str) -> None:
        """What follows a bad line can't be trusted: everything on this connection may have run."""
        self.core.passed_over(self.runner.name, reason)
        if self.stream is not None:
            self.stream.drop(reason)

    def handle_line(self, line: bytes) -> bool:
        """False if the line is no reply."""
        reply = parse_reply(line)
        if reply is None:
            return False
        number = self.by_rid.get(reply.rid)
        if number is None:
            self.core.host.unmatched_reply()
            return True
        attrs = reply.attrs or NO_ATTRIBUTES
        try:
            if number in self.core.host.worker_calls:
                return self.attempt_replied(number, reply, attrs)
            return self.task_replied(number, reply, attrs)
        except (ValueError, OverflowError, binascii.Error):
            return False

    def reply_received(self, number: int) -> None:
        """A reply has come: nothing more is awaited under this number."""
        self.last_used = self.core.clock()
        self.forget(number)
        self.linking.ended(number)

    def attempt_replied(self, number: int, reply: Reply, attrs: ReplyAttributes) -> bool:
        """The reply to an attempt; False if it is none. Raises ValueError, OverflowError, binascii.Error."""
        outcome = ATTEMPT_OUTCOMES.get(reply.verb)
        if outcome is None:
            return False
        body = b64decode(reply.content or "", validate=True) if outcome is Outcome.OK else b""
        is_reported = self.pools.reports_concurrency and outcome in (Outcome.OK, Outcome.REJECTED)
        concurrent = int(attrs.concurrent) if is_reported else None
        report = (
            parse_load_report(attrs.load_report, self.pools.report_names) if attrs.load_report else NO_REPORT
        )
        if outcome is Outcome.NOT_SENT:  # the runner had it, so it counts as a try
            self.core.host.worker_calls[number].pending.prior_attempts += 1
        self.reply_received(number)
        self.core.host.attempt_finished(number, outcome, body, concurrency=concurrent, load_report=report)
        return True

    def task_replied(self, number: int, reply: Reply, attrs: ReplyAttributes) -> bool:
        """The reply to a preload or a health check; False if it is none. Raises ValueError, OverflowError."""
        if reply.verb in HEALTH_CHECK_OUTCOMES:
            report = parse_load_report(attrs.load_report, self.pools.report_names)
            self.reply_received(number)
            self.core.host.health_check_finished(number, HEALTH_CHECK_OUTCOMES[reply.verb], report)
        elif reply.verb in PRELOAD_OUTCOMES:
            count = int(attrs.copies)
            self.reply_received(number)
            self.core.host.preload_finished(number, PRELOAD_OUTCOMES[reply.verb], count)
        else:
            return False
        return True

    def lost(self) -> None:
        """The connection is gone."""
        self.core.input()
        stream = self.stream
        self.stream = None
        self.buffer = b""
        if stream is None:
            return
        self.runner.remove(self)
        self.unsent_numbers = {mark for _, mark in stream.unsent if mark}
        self.linking.step(Input.FAILED if self.linking.state is Link.DIALING else Input.BROKE)
        self.release()

    def release(self) -> None:
        """It and its linking point to each other, and the collector hardly ever runs: guards a long life
        against growth with every connection.
        """
        self.linking.callbacks = NO_CALLBACKS

    def dial(self) -> None:
        """Begin to connect."""
        try:
            self.stream = Socket(self, dial(*split_address(self.runner.address[0])))
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

    def ask(self, delay: int) -> None:
        """Nothing: a lost connection is not dialled anew; another is, when one is needed."""

    def never_left(self, numbers: list[int]) -> None:
        """The connection did not come up."""
        for number in numbers:
            self.end_without_reply(number, Outcome.UNREACHABLE)

    def not_sent(self, numbers: list[int]) -> None:
        """Held back: the runner serves no more, or nobody waits for it. It says nothing of the runner."""
        for number in numbers:
            self.end_without_reply(number, Outcome.NOT_SENT)

    def broke(self, numbers: list[int]) -> None:
        """What was not written whole never ran, what was may have."""
        for number in numbers:
            self.end_without_reply(
                number, Outcome.UNREACHABLE if number in self.unsent_numbers else Outcome.RESET
            )

    def end_without_reply(self, number: int, outcome: Outcome) -> None:
        """End an attempt or a task without a reply."""
        self.forget(number)
        self.core.host.finished_without_reply(number, outcome)
