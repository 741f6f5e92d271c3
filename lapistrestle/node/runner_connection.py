"""One connection to a runner of the platform, in JSON lines.

`edge.connection_state` decides when lines are sent; placement, retries and health are the module's.
"""

import binascii
import socket
from base64 import b64decode
from collections.abc import Sequence
from typing import Protocol

from lapistrestle.edge.connection_state import (
    ConnectionCallbacks,
    ConnectionEvent,
    ConnectionState,
    ConnectionStateMachine,
    Line,
)
from lapistrestle.edge.core import Core
from lapistrestle.hosting.requests import NO_REPORT, WorkerCall, WorkerTask
from lapistrestle.node.configuration import split_address
from lapistrestle.node.process_identity import is_listed_process, process_since
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
from lapistrestle.node.streams import MAX_READS, Stream, dial
from lapistrestle.policy.types import Outcome

MAX_LINE = 131_072  # bytes of the longest line accepted: several times a body of 16 KiB in base64
PRELOAD_WAIT = 300  # ticks of 0.1 ms that a preload may be queued; its budget window is seconds long
NO_CALLBACKS = ConnectionCallbacks()
NEVER = -1  # the time of what has not happened


class ReplySettings(Protocol):
    """Settings of the connections to all runners."""

    idle_limit: int  # ticks without use after which a connection is closed
    report_names: dict[str, str]  # names in load reports, mapped to the module's names
    reports_concurrency: bool  # whether replies report how many calls ran at the same time

    def complete_until(self) -> int:
        """The tick until which no event of the worker list is missing."""


class ConnectionPool(Protocol):
    """What a connection needs of its pool."""

    core: Core
    name: str
    address: tuple[str, int]  # "host:port", and when the runner started, in Unix milliseconds

    @property
    def pools(self) -> ReplySettings:
        """Settings of the connections to all runners."""

    @property
    def connections(self) -> Sequence["RunnerConnection"]:
        """All connections to the runner."""

    def remove(self, connection: "RunnerConnection") -> None:
        """Remove a connection that was closed or lost."""


class Socket(Stream):
    """The socket of a connection to a runner."""

    def __init__(self, connection: "RunnerConnection", sock: socket.socket) -> None:
        super().__init__(connection.core.reactor, sock, dialled=True)
        self.connection = connection

    def connected(self) -> None:
        """The connection is established."""
        self.connection.established_at = self.connection.core.clock()
        self.connection.state_machine.step(ConnectionEvent.ESTABLISHED)

    def reads_per_poll(self) -> int:
        """How many reads are made per poll: all, so that a close right behind an answer is seen with it."""
        return MAX_READS

    def received(self, data: bytes) -> None:
        """Pass received data to the connection."""
        self.connection.received(data)

    def write_completed(self) -> None:
        """All buffered data has been written."""
        self.connection.state_machine.step(ConnectionEvent.WRITABLE)

    def lost(self, reason: str) -> None:
        """The socket was closed."""
        self.connection.lost()


class RunnerConnection(ConnectionCallbacks):
    """One connection to a runner."""

    def __init__(self, runner: ConnectionPool) -> None:
        self.runner = runner
        self.pools = runner.pools
        self.core: Core = runner.core
        self.state_machine = ConnectionStateMachine(
            runner.name, self, lambda _: None, self.core.clock, prompt_wait=PRELOAD_WAIT
        )
        self.stream: Socket | None = None
        self.buffer = b""
        self.numbers_by_rid: dict[str, int] = {}
        self.rids_by_number: dict[int, str] = {}
        self.last_used_at = self.core.clock()
        self.established_at = NEVER
        self.last_received_at = NEVER
        self.identity: bool | None = None  # what `reaches_listed_process` says for good; None: not settled
        self.unsent_numbers = set[int]()  # once the connection is lost: lines not completely written

    @property
    def is_established(self) -> bool:
        """Whether the runner has accepted the connection."""
        return self.established_at != NEVER

    def reaches_listed_process(self) -> bool:
        """Whether the process that is, or was, connected is the one that the worker list names."""
        if self.identity is not None:
            return self.identity
        since = process_since(self, self.runner.connections)
        return is_listed_process(since, self.runner.pools.complete_until())

    def settle_identity(self) -> None:
        """The connection is lost or its runner not listed any more: time tells no more of its process."""
        self.identity = self.reaches_listed_process()

    def load(self) -> int:
        """The number of lines queued or in flight."""
        return len(self.state_machine.in_flight) + len(self.state_machine.queued)

    def send(self, rid: str, line: Line, prompt: bool = False) -> bool:
        """Send a line as soon as the connection is open, with `prompt` within PRELOAD_WAIT.

        False if it is rejected.
        """
        self.last_used_at = self.core.clock()
        self.numbers_by_rid[rid] = line.number
        self.rids_by_number[line.number] = rid
        if self.state_machine.send(line, prompt):
            return True
        self.forget(line.number)
        return False

    def is_stale(self) -> bool:
        """Whether it has been unused for so long that the runner is about to close it."""
        idle = self.core.clock() - self.last_used_at > self.pools.idle_limit
        return idle and self.state_machine.state is ConnectionState.OPEN and not self.load()

    def forget(self, number: int) -> None:
        """Remove the request id of a number."""
        rid = self.rids_by_number.pop(number, None)
        if rid is not None and self.numbers_by_rid.get(rid) == number:
            del self.numbers_by_rid[rid]

    def cancel_unsent(self, number: int) -> bool:
        """Remove a queued line. True if it was not sent, and will not be."""
        if self.state_machine.cancel_unsent(number):
            self.forget(number)
            return True
        return False

    def withdraw(self, number: int, notify: bool) -> bool:
        """Stop waiting for this number; True if its line was never sent. Otherwise `notify` the runner."""
        rid = self.rids_by_number.get(number)
        self.forget(number)
        if self.state_machine.withdraw(number):
            return True
        if notify and rid is not None and self.stream is not None:
            self.stream.send(b'{"verb":"STOP","rid":"%s"}\n' % rid.encode())
        return False

    def end_tasks(self) -> None:
        """End preloads and health checks: the runner is gone, or another process has taken over its name.

        Late replies about this process's loads must not be taken for the new one's.
        """
        for number in [number for number in self.rids_by_number if number in self.core.host.tasks]:
            self.withdraw(number, False)
            self.core.host.task_finished_without_reply(number, Outcome.NOT_SENT)

    def received(self, data: bytes) -> None:
        """Process received data: complete lines are handled, the rest is buffered."""
        self.last_received_at = self.core.clock()
        lines = (self.buffer + data if self.buffer else data).split(b"\n")
        self.buffer = lines.pop()
        for line in lines:
            if self.stream is None:
                return
            if not self.handle_line(line):
                self.protocol_error("malformed line")
                return
        if len(self.buffer) > MAX_LINE:
            self.protocol_error("line too long")

    def protocol_error(self, reason: str) -> None:
        """Drop the connection: data after a bad line can't be trusted. All calls on it may have run."""
        self.core.message_ignored(self.runner.name, reason)
        if self.stream is not None:
            self.stream.drop(reason)

    def handle_line(self, line: bytes) -> bool:
        """Handle a reply; False if the line is no valid reply."""
        reply = parse_reply(line)
        if reply is None:
            return False
        number = self.numbers_by_rid.get(reply.rid)
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
        """Note the reply to a number."""
        self.last_used_at = self.core.clock()
        self.forget(number)
        self.state_machine.finished(number)

    def attempt_replied(self, number: int, reply: Reply, attrs: ReplyAttributes) -> bool:
        """Handle the reply to an attempt; False if it is invalid.

        Raises ValueError, OverflowError and binascii.Error for invalid values.
        """
        outcome = ATTEMPT_OUTCOMES.get(reply.verb)
        if outcome is None:
            return False
        body = b64decode(reply.content or "", validate=True) if outcome is Outcome.OK else b""
        is_reported = self.pools.reports_concurrency and outcome in (Outcome.OK, Outcome.REJECTED)
        concurrent = int(attrs.concurrent) if is_reported else None
        report = (
            parse_load_report(attrs.load_report, self.pools.report_names) if attrs.load_report else NO_REPORT
        )
        if outcome is Outcome.NOT_SENT:  # the runner received it, so it counts as an attempt
            self.core.host.worker_calls[number].pending.prior_attempts += 1
        self.reply_received(number)
        self.core.host.attempt_finished(number, outcome, body, concurrency=concurrent, load_report=report)
        return True

    def task_replied(self, number: int, reply: Reply, attrs: ReplyAttributes) -> bool:
        """Handle the reply to a preload or a health check; False if it is invalid.

        Raises ValueError and OverflowError for invalid values.
        """
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
        """Handle the loss of the connection."""
        stream = self.stream
        self.stream = None
        self.buffer = b""
        if stream is None:
            return
        self.settle_identity()
        self.runner.remove(self)
        self.unsent_numbers = {mark for _, mark in stream.unsent if mark}
        self.state_machine.step(
            ConnectionEvent.DIAL_FAILED
            if self.state_machine.state is ConnectionState.DIALING
            else ConnectionEvent.LOST
        )
        self.release()

    def release(self) -> None:
        """Break the reference cycle with the state machine.

        Garbage collections are rare, so without this memory would grow with every connection.
        """
        self.state_machine.callbacks = NO_CALLBACKS

    def dial(self) -> None:
        """Start to connect."""
        try:
            self.stream = Socket(self, dial(*split_address(self.runner.address[0])))
        except OSError:
            self.core.after(1, self.undialled, None)
            return
        self.stream.start()
        self.core.after(self.core.settings.connect_timeout, self.stream.connect_timed_out, None)

    def undialled(self, _: object) -> None:
        """Handle that no socket could be created."""
        self.runner.remove(self)
        self.state_machine.step(ConnectionEvent.DIAL_FAILED)
        self.release()

    def may_start(self, work: WorkerCall | WorkerTask) -> bool:
        """Whether new work may be sent to the runner now."""
        return self.core.work_gate.may_start(work, self.runner)

    def write(self, line: bytes, number: int = 0) -> bool:
        """Write a line; False if none of it was sent. Unless all of it was sent, the connection is slow."""
        if self.stream is None:
            return False
        is_sent = self.stream.offer(line, number)
        if not is_sent or (self.stream is not None and self.stream.unsent):
            self.state_machine.step(ConnectionEvent.WRITE_BLOCKED)
        return is_sent

    def close(self) -> None:
        """Close the connection."""
        stream, self.stream = self.stream, None
        self.settle_identity()
        self.runner.remove(self)
        if stream is not None:
            stream.drop("no longer needed")
        self.release()

    def schedule_redial(self, delay: int) -> None:
        """Do nothing: a lost connection is not dialled again; the pool opens another when needed."""

    def report_unreachable(self, numbers: list[int]) -> None:
        """Report lines as unreachable: the connection was not established."""
        for number in numbers:
            self.end_without_reply(number, Outcome.UNREACHABLE)

    def report_not_sent(self, numbers: list[int]) -> None:
        """Report lines as not sent: the runner does not serve, or the client has gone."""
        for number in numbers:
            self.end_without_reply(number, Outcome.NOT_SENT)

    def report_lost(self, numbers: list[int]) -> None:
        """Report lines of a lost connection: those not written completely never ran, the others may have."""
        for number in numbers:
            self.end_without_reply(
                number, Outcome.UNREACHABLE if number in self.unsent_numbers else Outcome.RESET
            )

    def end_without_reply(self, number: int, outcome: Outcome) -> None:
        """End an attempt or a task without a reply."""
        self.forget(number)
        self.core.host.finished_without_reply(number, outcome)
