"""The input of a client's connection: when it is read, how much at once, and whether the client still waits.

Times are ticks of 0.1 ms where nothing else is said.
"""

import socket

from lapistrestle.edge.core import Core
from lapistrestle.node import fastcgi
from lapistrestle.node.invocation import FIELDS
from lapistrestle.node.read_turns import ReadCost, ReadTurns
from lapistrestle.node.streams import MAX_READS, READ_SIZE, RETRIABLE_ERRORS, Stream

# ticks for which data may lie unread: its client may have aborted or closed behind it
UNREAD_TRUSTED = 500
READ_ON_TIME = 0.01  # seconds of reading a connection before an attempt for it begins


class PacedReading(Stream):
    """A connection that is read as its data arrives, in turn, or not at all for a while.

    Subclasses implement `before_read` and `close_if_done`, and count in `accepted` and `bytes_read`.
    """

    def __init__(self, core: Core, turns: ReadTurns, sock: socket.socket) -> None:
        super().__init__(core.reactor, sock)
        self.core = core
        self.turns = turns
        self.reader = fastcgi.RecordReader(FIELDS)
        self.bytes_read = 0
        self.accepted = 0  # requests handed to the host and not aborted, ever
        self.reads_paused = False  # not read until less is held for the client
        self.is_deferred = False  # waits for its turn to be read
        self.is_parsing = False  # records are being parsed: further data has to wait for its turn
        # earliest time at which data may have arrived that is unread; None: none was when last looked
        self.unread_since: int | None = None
        self.read_cost = ReadCost()
        self.bytes_per_read = READ_SIZE

    def doRead(self) -> None:
        """The socket is readable. One whose input leads to nothing, or may, waits for its turn."""
        turns = self.turns
        if self.accepted <= 0 and not turns.has_time_in_poll():
            self.defer_reading()
            return
        started_at = self.reactor.seconds()
        self.read_once()
        if self.accepted <= 0:
            turns.spent_in_poll += self.reactor.seconds() - started_at

    def read_once(self) -> None:
        """Read once, unless the connection holds too much."""
        self.before_read()
        self.bytes_per_read = self.read_cost.next_read_size
        self.read(1)
        self.bytes_per_read = READ_SIZE

    def defer_reading(self) -> None:
        """Wait for a turn to be read. Until then data may lie unread."""
        if not self.is_deferred and not self.dead:
            self.is_deferred = True
            self.note_unread(False)
            self.update_watch()
            self.turns.defer(self, self.read_cost.is_exceeded())

    def read_size(self) -> int:
        """See `Stream.read_size`."""
        return self.bytes_per_read

    def read_in_turn(self) -> None:
        """Read once; if that exceeds the allowance again, wait for another turn."""
        if self.dead:
            return
        self.is_deferred = False
        self.update_watch()
        self.read_once()
        self.close_if_done()

    def update_watch(self) -> None:
        """Watch for data unless reading is paused, or waits for its turn."""
        self.watch_reads(not self.reads_paused and not self.is_deferred)

    def may_receive(self) -> bool:
        """See `Stream.may_receive`. Before attempts and closes a connection is read out of its turn."""
        return not self.reads_paused and not self.is_parsing

    def pause_reading(self) -> None:
        """Do not read until `resume_reading`."""
        if not self.reads_paused:
            self.reads_paused = True
            self.update_watch()

    def read(self, count: int, time_limit: float | None = None) -> bool:
        """See `Stream.read`. Notes what was read, what it led to, and since when data may lie unread."""
        size, work, accepted = self.bytes_read, self.reader.work, self.accepted
        is_all_read = super().read(count, time_limit)
        self.note_unread(is_all_read)
        size, work = self.bytes_read - size, self.reader.work - work
        if size:
            self.read_cost.add(size, work, self.accepted - accepted, self.reactor.seconds())
            if self.read_cost.is_exceeded():
                self.defer_reading()
        return is_all_read

    def note_unread(self, is_all_read: bool) -> None:
        """Note since when data may lie unread, after all or a part of it was read."""
        if self.is_parsing:
            return
        if is_all_read and (self.unread_since is None or self.is_empty()):
            self.unread_since = self.core.earliest_arrival() if self.reads_paused else None
        elif self.unread_since is None:
            self.unread_since = self.core.earliest_arrival()

    def is_empty(self) -> bool:
        """Whether the socket has no data, nor the end of it.

        A read that empties the receive buffer lets a client go on that could not write, so what it wrote
        before may arrive right after.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in RETRIABLE_ERRORS
        return False

    def is_waiting(self) -> bool:
        """Whether the client still waits: it has not left, as far as its data was read lately."""
        if self.is_deferred:
            self.note_unread(self.is_empty())
        else:
            PacedReading.read(self, MAX_READS, READ_ON_TIME)
        return self.unread_since is None or self.core.clock() - self.unread_since <= UNREAD_TRUSTED

    # for subclasses

    def before_read(self) -> None:
        """Called before data is read as it arrives, or in turn."""

    def close_if_done(self) -> None:
        """Called after a turn: the connection may have been waiting for it to close."""
