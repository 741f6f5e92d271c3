"""Service discovery on the platform: the watch on the notice board, and the list that it delivers.

An event is applied once, and only right after the one before. Whatever else comes, or fails to come, leads to
a new watch from the revision of the last event that came completely. How old the list may be is decided in
`freshness`. Times are whole tenths of a millisecond.
"""

import time
from collections.abc import Sequence
from enum import Enum
from typing import Any

from lapistrestle.deployment import translation
from lapistrestle.edge.core import Core
from lapistrestle.node.configuration import Configuration, KnownEndpoints, RunnerEntry, split_address
from lapistrestle.node.freshness import ListFreshness
from lapistrestle.node.notices import STATES, Frame, FrameDecoder, FrameError, FrameKind, Record
from lapistrestle.node.streams import MOST_READS, Stream, dial
from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.ticks import MILLISECOND, SECOND

HEARTBEAT_TIME_OUT = 22_000  # two heartbeats have not come
FIRST_FRAME_TIME_OUT = 12_000  # the board was asked, and not one heartbeat has come
CHECK_INTERVAL = HEARTBEAT_TIME_OUT // 8
RECONNECT_PAUSE = 1_000
CONNECT_TIME_OUT = 5_000
PROGRESS_BYTES = 1_024  # read at once: a long snapshot that is coming in

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
        self.discovery = discovery
        self.decoder = FrameDecoder()
        self.last_received = discovery.core.clock()
        self.is_answered = False  # a frame has come

    def made(self) -> None:
        """Connected: ask for what is later than the last event applied."""
        self.last_received = self.discovery.core.clock()
        self.discovery.freshness.watch_started(self.last_received)
        self.send(self.discovery.revision.to_bytes(8, "big"))

    def received(self, data: bytes) -> None:
        """Bytes came: complete frames are handed on."""
        self.discovery.core.input()
        failure = ""
        try:
            self.decoder.feed(data)
        except FrameError as error:
            failure = str(error)
        frames = self.decoder.frames
        self.note_progress(bool(frames), len(data))
        for frame in frames:
            if self.discovery.receive(frame) is FrameAction.RESUME:
                self.drop("a gap in the revisions")
                return
        if failure:
            self.drop(failure)

    def note_progress(self, has_frame: bool, size: int) -> None:
        """The board has said something. A few bytes are no sign of life: half a frame may never end."""
        core = self.discovery.core
        if has_frame or size >= PROGRESS_BYTES:
            self.last_received = core.clock()
        if has_frame:
            self.is_answered = True
            unread = core.unread_for(self.sock, core.since_look())
            self.discovery.freshness.frame_received(self.last_received - unread)

    def lost(self, reason: str) -> None:
        """The connection is gone."""
        self.discovery.watch_lost(self, reason)


class ServiceDiscovery:
    """Watches the board at one address from the last revision on, and hands on its events."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        self.core = core
        self.configuration = configuration
        self.address = configuration.file.board
        self.revision = 0  # of the last event applied
        now = core.clock()
        age = configuration.age(time.time())
        grace = core.settings.drain_grace
        self.freshness = ListFreshness(grace, now - 1 if age is None else now - age + grace)
        self.was_usable = False  # whether new work might begin by the list, as last asked
        self.watch: Watch | None = None
        self.stopped = False
        self.reconnects_at_once = True
        self.unix_offset = int(time.time() * SECOND) - core.clock()  # of the Unix clock to ours
        self.zones = {name: i for i, name in enumerate(configuration.platform.zones)}
        self.kinds = {name: i for i, name in enumerate(configuration.platform.models)}

    def ready(self) -> bool:
        """Whether there is a list, and new work may begin by it."""
        self.core.gate.read_lists()
        return self.revision > 0 and self.is_current()

    def start(self) -> None:
        """Take the list that the file holds, and begin to watch the board."""
        self.apply_known(self.configuration.file.known)
        self.core.after(HEARTBEAT_TIME_OUT, self.check_heartbeat, None)
        self.connect()

    def follow(self) -> None:
        """Nothing: the board is always watched."""
        # it is always followed

    def read_now(self) -> None:
        """Read what lies unread on the watch."""
        if self.watch is not None and not self.watch.dialling:
            self.watch.read(MOST_READS)

    def is_current(self) -> bool:
        """Whether new work may begin by the last notification of the board; logged where that changes."""
        now = self.core.clock()
        usable = self.address is None or self.freshness.is_usable(
            now
        )  # without a board there are no notifications
        if usable is not self.was_usable:
            self.was_usable = usable
            event = "list usable" if usable else "list too old for new work"
            self.core.log(event, revision=self.revision, overdue=now - self.freshness.usable_until)
        return usable

    def stop(self) -> None:
        """End the watch for good."""
        self.stopped = True
        if self.watch is not None:
            self.watch.drop("the dispatcher ends")

    def apply_known(self, known: KnownEndpoints) -> None:
        """Take the events of a configuration that are later than those notified.

        One complete list, or the next change: what lies between must not be passed over.
        """
        for notice in known.notices:
            order = order_of(notice.revision, self.revision)
            kind = FrameKind.SNAPSHOT if notice.pool.is_complete else FrameKind.DELTA
            if not self.revision or FRAME_ACTIONS[kind, order] is FrameAction.APPLY:
                self.revision = notice.revision
                self.apply([self.record(entry) for entry in notice.pool.runners], notice.pool.is_complete)

    def move_to(self, address: str | None) -> None:
        """The board is at another address from now on."""
        if address is None or address == self.address:
            return
        self.core.log("board moves", to=address, revision=self.revision)
        self.address = address
        self.freshness.board_moved(self.core.clock())
        if self.watch is not None:
            self.watch.drop("the board is elsewhere")
        else:
            self.connect()

    def connect(self, _: object = None) -> None:
        """Begin a watch, unless there is one."""
        if self.stopped or self.watch is not None or self.address is None:
            return
        try:
            self.watch = Watch(self, dial(*split_address(self.address)))
        except OSError:
            self.core.after(RECONNECT_PAUSE, self.connect, None)
            return
        self.core.after(CONNECT_TIME_OUT, self.watch.unmade, None)
        self.watch.begin()

    def watch_lost(self, watch: Watch, reason: str) -> None:
        """Connect again: at once after a watch that notified something, else after a pause."""
        if self.watch is not watch:
            return
        self.watch = None
        if not watch.dialling:
            self.freshness.watch_broke(self.core.earliest_arrival())
        if not self.stopped:
            if not watch.dialling:  # one that stays away is logged once
                self.core.log("board lost", reason=reason, revision=self.revision)
            self.core.after(1 if self.reconnects_at_once else RECONNECT_PAUSE, self.connect, None)
            self.reconnects_at_once = False

    def check_heartbeat(self, _: object) -> None:
        """Where heartbeats stay away the watch has ended."""
        watch = self.watch
        time_out = HEARTBEAT_TIME_OUT if watch is not None and watch.is_answered else FIRST_FRAME_TIME_OUT
        if watch is not None and not watch.dialling and self.core.clock() - watch.last_received >= time_out:
            watch.drop("silence")
        if not self.stopped:
            self.core.after(CHECK_INTERVAL, self.check_heartbeat, None)

    def receive(self, frame: Frame) -> FrameAction:
        """A frame is complete."""
        action = FRAME_ACTIONS[frame.kind, order_of(frame.revision, self.revision)]
        if action is FrameAction.APPLY:
            self.reconnects_at_once = True
            self.revision = frame.revision
            self.apply(frame.records, frame.kind is FrameKind.SNAPSHOT)
        elif action is FrameAction.RESUME:
            self.freshness.event_missed(self.core.clock())
        return action

    def apply(self, records: Sequence[Record], whole: bool) -> None:
        """In one turn the module hears it, lines that wait for what drains are taken back, and ways open."""
        workers = tuple(self.worker_info(record) for record in records)
        named = {record.name for record in records}
        self.core.listed(workers, whole)
        for name in [name for name in self.core.runners if name not in named] if whole else ():
            self.core.address(name, None)
        at = {runner.address[0]: name for name, runner in self.core.runners.items()}
        for record in records:
            before = at.get(record.address, record.name)
            if before != record.name and record.listing is not EndpointState.REMOVED:
                self.core.address(before, None)  # one that had this address has gone, notified or not
            gone = record.listing is EndpointState.REMOVED
            self.core.address(record.name, None if gone else (record.address, record.started))

    def worker_info(self, record: Record) -> WorkerInfo:
        """A record in the module's terms."""
        booted = record.started * MILLISECOND - self.unix_offset if record.started else None
        return WorkerInfo(
            record.name, record.zone, record.cell, record.kind, record.weight / 1000, record.listing, booted
        )

    def record(self, entry: RunnerEntry) -> Record:
        """A entry of the file, where places and kinds stand by name."""
        host, port = split_address(entry.address)
        number = 0
        for part in host.split("."):
            number = number << 8 | int(part)
        state = STATES[translation.ENDPOINT_STATES.get(entry.state, EndpointState.DRAINING)]
        zone, kind = self.zones.get(entry.zone, 0), self.kinds.get(entry.kind, 0)
        weight, started = round(entry.weight * 1000), int(entry.started_ms)
        return Record(int(entry.id[2:], 16), number, port, state, zone, kind, entry.cell, weight, started)
