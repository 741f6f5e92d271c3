"""The notice board: frames of numbered events, without I/O, then the connection that follows it.

An event counts once, and only right after the one before. Whatever else comes, or fails to come, leads to
asking anew with the number of the last event that came whole.
"""

import struct
import time
from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec

from lapistrestle.deployment import words
from lapistrestle.edge.core import TENTHS, Core
from lapistrestle.interface import Listing, SrvFacts
from lapistrestle.node.freshness import ListFreshness
from lapistrestle.node.place import Known, Place, Row, split
from lapistrestle.node.streams import MOST_READS, Stream, dial

HEAD = struct.Struct(">IQB")
RECORD = struct.Struct(">IIHBBBHIQ")
NOTHING, WHOLE, CHANGES = range(3)
MOST = HEAD.size + RECORD.size * 65_536  # bytes of a frame
LISTINGS = (Listing.SERVING, Listing.DRAINING, Listing.GONE)
STATES = {listing: state for state, listing in enumerate(LISTINGS)}

SILENCE = 22_000  # tenths of a millisecond: two of the empty frames have not come
UNANSWERED = 12_000  # the first frame after the board was asked has not come, though one comes each second
BULK = 1_024  # bytes at once: a long list that is coming in
PAUSE = 1_000  # between two dials
DIAL = 5_000
UNIX_TENTHS = 10  # in a millisecond


class Entry(msgspec.Struct, frozen=True):
    """A runner in an event."""

    id: int
    host: int
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    weight: int  # thousandths
    started: int  # Unix milliseconds; 0: long ago

    @property
    def listing(self) -> Listing:
        """What it says of the runner. A state that the page does not know, or a port that nobody can listen
        at, never reads as ready: the rest of its event counts, and this one gets no new work."""
        listing = LISTINGS[self.state] if self.state < len(LISTINGS) else Listing.DRAINING
        return listing if self.port or listing is Listing.GONE else Listing.DRAINING

    @property
    def name(self) -> str:
        return f"s-{self.id:08x}"

    @property
    def address(self) -> str:
        return ".".join(str(self.host >> shift & 255) for shift in (24, 16, 8, 0)) + f":{self.port}"


class Frame(msgspec.Struct, frozen=True):
    number: int
    kind: int
    entries: tuple[Entry, ...] = ()


class Unreadable(Exception):
    """Bytes that are no frame: nothing after them can be read."""


class Frames:
    """Bytes to frames."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole now. Raises Unreadable, after which `done` holds those before it."""
        data = self.rest + data
        self.done: list[Frame] = []
        at = 0
        while len(data) - at >= 4:
            size = int.from_bytes(data[at : at + 4], "big")
            if not 9 <= size <= MOST - 4:
                raise Unreadable(f"a frame of {size} bytes")
            if len(data) - at < 4 + size:
                break
            self.done.append(frame_of(data[at : at + 4 + size]))
            at += 4 + size
        self.rest = data[at:]
        return self.done


def frame_of(data: bytes) -> Frame:
    _, number, kind = HEAD.unpack_from(data)
    size = len(data) - HEAD.size
    if kind > CHANGES or (kind == NOTHING and size) or size % RECORD.size:
        raise Unreadable(f"kind {kind} with {size} bytes")
    return Frame(number, kind, tuple(Entry(*row) for row in RECORD.iter_unpack(data[HEAD.size :])))


News = Enum("News", "REPEAT NEXT GAP")
Do = Enum("Do", "PASS TAKE ASK")

# what is done with a frame, by its kind and how its number lies to the last one taken
FOLLOWING: dict[tuple[int, News], Do] = {
    (NOTHING, News.REPEAT): Do.PASS,
    (NOTHING, News.NEXT): Do.ASK,  # it speaks of an event that did not come
    (NOTHING, News.GAP): Do.ASK,
    (WHOLE, News.REPEAT): Do.PASS,
    (WHOLE, News.NEXT): Do.TAKE,
    (WHOLE, News.GAP): Do.TAKE,  # it holds what was missed
    (CHANGES, News.REPEAT): Do.PASS,
    (CHANGES, News.NEXT): Do.TAKE,
    (CHANGES, News.GAP): Do.ASK,
}


def news(number: int, last: int) -> News:
    return News.REPEAT if number <= last else News.NEXT if number == last + 1 else News.GAP


class Watch(Stream):
    """One connection to the board, which tells what changes from a number on."""

    def __init__(self, board: "Board", sock: Any) -> None:
        super().__init__(board.core.reactor, sock, dialled=True)
        self.board, self.frames = board, Frames()
        self.heard = board.core.clock()
        self.answered = False  # a frame has come

    def made(self) -> None:
        self.heard = self.board.core.clock()
        self.board.freshness.asked(self.heard)
        self.send(self.board.last.to_bytes(8, "big"))

    def received(self, data: bytes) -> None:
        self.board.core.input()
        why = ""
        try:
            self.frames.feed(data)
        except Unreadable as trouble:
            why = str(trouble)
        if self.frames.done or len(data) >= BULK:  # bytes alone are no word: half a frame may never end
            self.heard = self.board.core.clock()
        if self.frames.done:
            self.answered = True
            self.board.freshness.heard(self.heard - self.board.core.unread_for(self.sock))
        for frame in self.frames.done:
            if self.board.told(frame) is Do.ASK:
                return self.drop("a gap in the numbers")
        if why:
            self.drop(why)

    def lost(self, why: str) -> None:
        self.board.lost(self, why)


class Board:
    """Follows the board at one address from the last number on; holds the list it told."""

    def __init__(self, core: Core, place: Place) -> None:
        self.core, self.place = core, place
        self.address = place.file.board
        self.last = 0
        now, age = core.clock(), place.age(time.time())
        grace = core.facts["drain_grace"]
        self.freshness = ListFreshness(grace, now - 1 if age is None else now - age + grace)
        self.usable = False  # whether new work may begin by the list, as last asked
        self.watch: Watch | None = None
        self.stopped = False
        self.fast = True  # the next dial need not wait
        self.offset = int(time.time() * TENTHS) - core.clock()  # of the Unix clock to ours
        self.zones = {name: i for i, name in enumerate(place.told.zones)}
        self.kinds = {name: i for i, name in enumerate(place.told.models)}

    def ready(self) -> bool:
        """Whether there is a list, and new work may begin by it."""
        self.core.read_lists()
        return self.last > 0 and self.is_current()

    # core.ListSource

    def start(self) -> None:
        self.learn(self.place.file.known)
        self.core.after(SILENCE, self.listen, None)
        self.dial()

    def follow(self) -> None: ...  # it is always followed

    def read_now(self) -> None:
        """Read what lies unread on the watch."""
        if self.watch is not None and not self.watch.dialling:
            self.watch.read(MOST_READS)

    def is_current(self) -> bool:
        """Whether new work may still begin by what the board told last; logged where that changes."""
        now = self.core.clock()
        usable = self.freshness.is_usable(now)
        if usable is not self.usable:
            self.usable = usable
            says = "list usable" if usable else "list too old for new work"
            self.core.log(says, last=self.last, past=now - self.freshness.usable_until)
        return usable

    def stop(self) -> None:
        self.stopped = True
        if self.watch is not None:
            self.watch.drop("the dispatcher ends")

    def learn(self, known: Known) -> None:
        """Take the events of a configuration that are later than those told. One whole list, or the next
        change: what lies between must not be passed over."""
        for notice in known.notices:
            after = news(notice.rev, self.last)
            kind = WHOLE if notice.pool.full else CHANGES
            if not self.last or FOLLOWING[kind, after] is Do.TAKE:
                self.last = notice.rev
                self.take([self.entry(row) for row in notice.pool.servers], notice.pool.full)

    def move(self, address: str | None) -> None:
        """The board is at another address from now on."""
        if address is None or address == self.address:
            return
        self.core.log("board moves", to=address, last=self.last)
        self.address = address
        self.freshness.moved(self.core.clock())
        if self.watch is not None:
            self.watch.drop("the board is elsewhere")
        else:
            self.dial()

    # the connection

    def dial(self, _: object = None) -> None:
        if self.stopped or self.watch is not None or self.address is None:
            return
        try:
            self.watch = Watch(self, dial(*split(self.address)))
        except OSError:
            self.core.after(PAUSE, self.dial, None)
            return
        self.core.after(DIAL, self.watch.unmade, None)
        self.watch.begin()

    def lost(self, watch: Watch, why: str) -> None:
        """Asked again at once after one that told something, else after a pause."""
        if self.watch is not watch:
            return
        self.watch = None
        if not watch.dialling:
            self.freshness.broke(self.core.came())
        if not self.stopped:
            if not watch.dialling:  # one that stays away is told once
                self.core.log("board lost", why=why, last=self.last)
            self.core.after(1 if self.fast else PAUSE, self.dial, None)
            self.fast = False

    def listen(self, _: object) -> None:
        """Silence beyond the empty frames means that the board no longer tells."""
        watch = self.watch
        patience = SILENCE if watch is not None and watch.answered else UNANSWERED
        if watch is not None and not watch.dialling and self.core.clock() - watch.heard >= patience:
            watch.drop("silence")
        if not self.stopped:
            self.core.after(SILENCE // 8, self.listen, None)

    # what it tells

    def told(self, frame: Frame) -> Do:
        do = FOLLOWING[frame.kind, news(frame.number, self.last)]
        if do is Do.TAKE:
            self.fast = True
            self.last = frame.number
            self.take(frame.entries, frame.kind == WHOLE)
        return do

    def take(self, entries: Sequence[Entry], whole: bool) -> None:
        """In one turn the module hears it, ways open, and lines that wait for what drains are taken back."""
        facts = tuple(self.facts(entry) for entry in entries)
        named = {entry.name for entry in entries}
        self.core.listed(facts, whole)
        for name in [name for name in self.core.runners if name not in named] if whole else ():
            self.core.address(name, None)
        at = {runner.address[0]: name for name, runner in self.core.runners.items()}
        for entry in entries:
            before = at.get(entry.address, entry.name)
            if before != entry.name and entry.listing is not Listing.GONE:
                self.core.address(before, None)  # one that had this address has gone, told or not
            gone = entry.listing is Listing.GONE
            self.core.address(entry.name, None if gone else (entry.address, entry.started))
        self.core.held_back(facts)

    def facts(self, entry: Entry) -> SrvFacts:
        booted = entry.started * UNIX_TENTHS - self.offset if entry.started else None
        return SrvFacts(
            entry.name, entry.zone, entry.cell, entry.kind, entry.weight / 1000, entry.listing, booted
        )

    def entry(self, row: Row) -> Entry:
        """A row of the file, where places and kinds stand by name."""
        host, port = split(row.addr)
        number = 0
        for part in host.split("."):
            number = number << 8 | int(part)
        state = STATES[words.LISTINGS.get(row.state, Listing.DRAINING)]
        zone, kind = self.zones.get(row.zone, 0), self.kinds.get(row.kind, 0)
        weight, started = round(row.weight * 1000), int(row.started_ms)
        return Entry(int(row.id[2:], 16), number, port, state, zone, kind, row.cell, weight, started)
