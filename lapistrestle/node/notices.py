"""Frames of the notice board: numbered events about workers, bytes to typed values. No I/O.

The format is the protocol page's, "The notice board". Numbers are big-endian and unsigned.
"""

import struct
from enum import IntEnum

import msgspec

from lapistrestle.policy.types import EndpointState

HEAD = struct.Struct(">IQB")  # length of all that follows it, revision, kind
RECORD = struct.Struct(">IIHBBBHIQ")
LENGTH_BYTES = 4
LEAST_LENGTH = HEAD.size - LENGTH_BYTES
MOST_RECORDS = 65_536
MOST_LENGTH = LEAST_LENGTH + RECORD.size * MOST_RECORDS
LISTINGS = (EndpointState.SERVING, EndpointState.DRAINING, EndpointState.REMOVED)  # by the state of a record
STATES = {listing: state for state, listing in enumerate(LISTINGS)}


class FrameKind(IntEnum):
    """What a frame holds."""

    HEARTBEAT = 0  # nothing new
    SNAPSHOT = 1  # the whole list
    DELTA = 2  # the workers that have changed


class FrameError(Exception):
    """Bytes that are no frame: nothing after them can be read."""


class Record(msgspec.Struct, frozen=True):
    """A worker as an event has it; `weight` in thousandths, `started` in Unix milliseconds (0: long ago)."""

    id: int
    host: int
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    weight: int
    started: int

    @property
    def listing(self) -> EndpointState:
        """What it says of the worker. A state that the page does not know, or a port that nobody can listen
        at, never reads as ready: the rest of its event counts, and this one gets no new work.
        """
        listing = LISTINGS[self.state] if self.state < len(LISTINGS) else EndpointState.DRAINING
        return listing if self.port or listing is EndpointState.REMOVED else EndpointState.DRAINING

    @property
    def name(self) -> str:
        """Its id as text has it."""
        return f"s-{self.id:08x}"

    @property
    def address(self) -> str:
        """Host and port."""
        return ".".join(str(self.host >> shift & 255) for shift in (24, 16, 8, 0)) + f":{self.port}"


class Frame(msgspec.Struct, frozen=True):
    """One event of the board, or a heartbeat with the revision of the last one."""

    revision: int
    kind: FrameKind
    records: tuple[Record, ...] = ()


class FrameDecoder:
    """Bytes of one connection to frames."""

    def __init__(self) -> None:
        self.buffer = b""
        self.frames: list[Frame] = []  # those of the last bytes

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are complete now. Raises FrameError, after which `frames` holds those before it."""
        data = self.buffer + data
        self.frames = []
        start = 0
        while len(data) - start >= LENGTH_BYTES:
            length = int.from_bytes(data[start : start + LENGTH_BYTES], "big")
            if not LEAST_LENGTH <= length <= MOST_LENGTH:
                raise FrameError(f"a frame of {length} bytes")
            end = start + LENGTH_BYTES + length
            if len(data) < end:
                break
            self.frames.append(decode_frame(data[start:end]))
            start = end
        self.buffer = data[start:]
        return self.frames


def decode_frame(data: bytes) -> Frame:
    """One whole frame. Raises FrameError."""
    _, revision, kind = HEAD.unpack_from(data)
    size = len(data) - HEAD.size
    if kind > FrameKind.DELTA or (kind == FrameKind.HEARTBEAT and size) or size % RECORD.size:
        raise FrameError(f"kind {kind} with {size} bytes")
    records = tuple(Record(*fields) for fields in RECORD.iter_unpack(data[HEAD.size :]))
    return Frame(revision, FrameKind(kind), records)
