"""Service discovery on the platform: the watch on the notice board, and the list that it tells.

An event is applied once, and only right after the one before. Whatever else comes, or fails to come, leads to
a new watch from the revision of the last event that came whole. How old the list may be is decided in
`freshness`. Times are whole tenths of a millisecond.
"""

import time
from collections.abc import Sequence
from enum import Enum
from typing import Any

from lapistrestle.deployment import translation
from lapistrestle.edge.core import TENTHS, Core
from lapistrestle.node.configuration import Configuration, Known, Row, split
from lapistrestle.node.freshness import ListFreshness
from lapistrestle.node.notices import STATES, Frame, FrameDecoder, FrameError, FrameKind, Record
from lapistrestle.node.streams import MOST_READS, Stream, dial
from lapistrestle.policy.interface import EndpointState, WorkerInfo

HEARTBEAT_TIME_OUT = 22_000  # two heartbeats have not come
FIRST_FRAME_TIME_OUT = 12_000  # the board was asked, and not one heartbeat has come
CHECK_INTERVAL = HEARTBEAT_TIME_OUT // 8
RECONNECT_PAUSE = 1_000
CONNECT_TIME_OUT = 5_000
PROGRESS_BYTES = 1_024  # read at once: a long snapshot that is coming in
UNIX_TENTHS = 10  # in a millisecond

RevisionOrder = Enum("RevisionOrder", "REPEATED NEXT GAP")
FrameAction = Enum("FrameAction", "IGNORE APPLY RESUME")

# what is done with a frame, by its kind and how its revision lies to the last one applied
FRAME_ACTIONS: dict[tuple[FrameKind, RevisionOrder], FrameAction] = {
    (FrameKind.HEARTBEAT, RevisionOrder.REPEATED): FrameAction.IGNORE,
    (FrameKind.HEARTBEAT, RevisionOrder.NEXT): FrameAction.RESUME,  # it speaks of an event that did not come
    (FrameKind.HEARTBEAT, RevisionOrder.GAP): FrameAction.RESUME,
    (FrameKind.SNAPSHOT, RevisionOrder.REPEATED): FrameAction.IGNORE,
    (FrameKind.SNAPSHOT, RevisionOrder.NEXT): FrameAction.APPLY,
    (FrameKind.SNAPSHOT, RevisionOrder.GAP): FrameAction.APPLY,  # it holds what was missed
    (FrameKind.DELTA, RevisionOrder.REPEATED): FrameAction.IGNORE,
    (FrameKind.DELTA, RevisionOrder.NEXT): FrameAction.APPLY,
    (FrameKind.DELTA, RevisionOrder.GAP): FrameAction.RESUME,
}


def order_of(revision: int, last: int) -> RevisionOrder:
    """How a revision lies to the last one applied."""
    if revision <= last:
        return RevisionOrder.REPEATED
    return RevisionOrder.NEXT if revision == last + 1 else RevisionOrder.GAP


class Watch(Stream):
    """One connection to the board, which tells what changes from a revision on."""

    def __init__(self, discovery: "ServiceDiscovery", sock: Any) -> None:
        super().__init__(discovery.core.reactor, sock, dialled=True)
        self.discovery, self.decoder = discovery, FrameDecoder()
        self.last_heard = discovery.core.clock()
        self.is_answered = False  # a frame has come

    def made(self) -> None:
        """Connected: ask for what is later than the last event applied."""
        self.last_heard = self.discovery.core.clock()
        self.discovery.freshness.asked(self.last_heard)
        self.send(self.discovery.revision.to_bytes(8, "big"))

    def received(self, data: bytes) -> None:
        """Bytes came: whole frames are handed on."""
        self.discovery.core.input()
        error = ""
        try:
            self.decoder.feed(data)
        except FrameError as trouble:
            error = str(trouble)
        frames = self.decoder.frames
        self.note_word(bool(frames), len(data))
        for frame in frames:
            if self.discovery.receive(frame) is FrameAction.RESUME:
                return self.drop("a gap in the revisions")
        if error:
            self.drop(error)

    def note_word(self, is_whole: bool, size: int) -> None:
        """The board has said something. A few bytes are no word: half a frame may never end."""
        core = self.discovery.core
        if is_whole or size >= PROGRESS_BYTES:
            self.last_heard = core.clock()
        if is_whole:
            self.is_answered = True
            unread = core.unread_for(self.sock, core.since_look())
            self.discovery.freshness.heard(self.last_heard - unread)

    def lost(self, why: str) -> None:
        """The connection is gone."""
        self.discovery.watch_lost(self, why)


class ServiceDiscovery:
    """Watches the board at one address from the last revision on, and hands on what it tells."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        self.core, self.configuration = core, configuration
        self.address = configuration.file.board
        self.revision = 0  # of the last event applied
        now, age = core.clock(), configuration.age(time.time())
        grace = core.settings.drain_grace
        self.freshness = ListFreshness(grace, now - 1 if age is None else now - age + grace)
        self.was_usable = False  # whether new work might begin by the list, as last asked
        self.watch: Watch | None = None
        self.stopped = False
        self.reconnects_at_once = True
        self.offset = int(time.time() * TENTHS) - core.clock()  # of the Unix clock to ours
        self.zones = {name: i for i, name in enumerate(configuration.platform.zones)}
        self.kinds = {name: i for i, name in enumerate(configuration.platform.models)}

    def ready(self) -> bool:
        """Whether there is a list, and new work may begin by it."""
        self.core.gate.read_lists()
        return self.revision > 0 and self.is_current()

    # core.ListSource

    def start(self) -> None:
        self.apply_known(self.configuration.file.known)
        self.core.after(HEARTBEAT_TIME_OUT, self.check_heartbeat, None)
        self.connect()

    def follow(self) -> None: ...  # it is always followed

    def read_now(self) -> None:
        """Read what lies unread on the watch."""
        if self.watch is not None and not self.watch.dialling:
            self.watch.read(MOST_READS)

    def is_current(self) -> bool:
        """Whether new work may still begin by what the board told last; logged where that changes."""
        now = self.core.clock()
        usable = self.address is None or self.freshness.is_usable(now)  # without a board nothing is told
        if usable is not self.was_usable:
            self.was_usable = usable
            says = "list usable" if usable else "list too old for new work"
            self.core.log(says, last=self.revision, past=now - self.freshness.usable_until)
        return usable

    def stop(self) -> None:
        self.stopped = True
        if self.watch is not None:
            self.watch.drop("the dispatcher ends")

    def apply_known(self, known: Known) -> None:
        """Take the events of a configuration that are later than those told. One whole list, or the next
        change: what lies between must not be passed over."""
        for notice in known.notices:
            order = order_of(notice.rev, self.revision)
            kind = FrameKind.SNAPSHOT if notice.pool.full else FrameKind.DELTA
            if not self.revision or FRAME_ACTIONS[kind, order] is FrameAction.APPLY:
                self.revision = notice.rev
                self.apply([self.record(row) for row in notice.pool.servers], notice.pool.full)

    def move_to(self, address: str | None) -> None:
        """The board is at another address from now on."""
        if address is None or address == self.address:
            return
        self.core.log("board moves", to=address, last=self.revision)
        self.address = address
        self.freshness.moved(self.core.clock())
        if self.watch is not None:
            self.watch.drop("the board is elsewhere")
        else:
            self.connect()

    # the connection

    def connect(self, _: object = None) -> None:
        """Begin a watch, unless there is one."""
        if self.stopped or self.watch is not None or self.address is None:
            return
        try:
            self.watch = Watch(self, dial(*split(self.address)))
        except OSError:
            self.core.after(RECONNECT_PAUSE, self.connect, None)
            return
        self.core.after(CONNECT_TIME_OUT, self.watch.unmade, None)
        self.watch.begin()

    def watch_lost(self, watch: Watch, why: str) -> None:
        """Asked again at once after one that told something, else after a pause."""
        if self.watch is not watch:
            return
        self.watch = None
        if not watch.dialling:
            self.freshness.broke(self.core.earliest_arrival())
        if not self.stopped:
            if not watch.dialling:  # one that stays away is told once
                self.core.log("board lost", why=why, last=self.revision)
            self.core.after(1 if self.reconnects_at_once else RECONNECT_PAUSE, self.connect, None)
            self.reconnects_at_once = False

    def check_heartbeat(self, _: object) -> None:
        """Where heartbeats stay away the board no longer tells."""
        watch = self.watch
        time_out = HEARTBEAT_TIME_OUT if watch is not None and watch.is_answered else FIRST_FRAME_TIME_OUT
        if watch is not None and not watch.dialling and self.core.clock() - watch.last_heard >= time_out:
            watch.drop("silence")
        if not self.stopped:
            self.core.after(CHECK_INTERVAL, self.check_heartbeat, None)

    # the list that it tells

    def receive(self, frame: Frame) -> FrameAction:
        """A frame has come whole."""
        action = FRAME_ACTIONS[frame.kind, order_of(frame.revision, self.revision)]
        if action is FrameAction.APPLY:
            self.reconnects_at_once = True
            self.revision = frame.revision
            self.apply(frame.records, frame.kind is FrameKind.SNAPSHOT)
        elif action is FrameAction.RESUME:
            self.freshness.fell_behind(self.core.clock())
        return action

    def apply(self, records: Sequence[Record], whole: bool) -> None:
        """In one turn the module hears it, lines that wait for what drains are taken back, and ways open."""
        facts = tuple(self.facts(record) for record in records)
        named = {record.name for record in records}
        self.core.listed(facts, whole)
        for name in [name for name in self.core.runners if name not in named] if whole else ():
            self.core.address(name, None)
        at = {runner.address[0]: name for name, runner in self.core.runners.items()}
        for record in records:
            before = at.get(record.address, record.name)
            if before != record.name and record.listing is not EndpointState.REMOVED:
                self.core.address(before, None)  # one that had this address has gone, told or not
            gone = record.listing is EndpointState.REMOVED
            self.core.address(record.name, None if gone else (record.address, record.started))

    def facts(self, record: Record) -> WorkerInfo:
        booted = record.started * UNIX_TENTHS - self.offset if record.started else None
        return WorkerInfo(
            record.name, record.zone, record.cell, record.kind, record.weight / 1000, record.listing, booted
        )

    def record(self, row: Row) -> Record:
        """A row of the file, where places and kinds stand by name."""
        host, port = split(row.addr)
        number = 0
        for part in host.split("."):
            number = number << 8 | int(part)
        state = STATES[translation.LISTINGS.get(row.state, EndpointState.DRAINING)]
        zone, kind = self.zones.get(row.zone, 0), self.kinds.get(row.kind, 0)
        weight, started = round(row.weight * 1000), int(row.started_ms)
        return Record(int(row.id[2:], 16), number, port, state, zone, kind, row.cell, weight, started)
