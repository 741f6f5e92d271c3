"""Decoding of the notice board's frames: numbered events about workers. No I/O.

A frame is its length, a revision, a kind and a sequence of records. Numbers are big-endian and unsigned.
"""

import struct
from enum import IntEnum

import msgspec

from lapistrestle.policy.types import EndpointState

HEAD = struct.Struct(">IQB")  # length of the rest of the frame, revision, kind
RECORD = struct.Struct(">IIHBBBHIQ")
LENGTH_BYTES = 4
MIN_LENGTH = HEAD.size - LENGTH_BYTES
MAX_RECORDS = 65_536
MAX_LENGTH = MIN_LENGTH + RECORD.size * MAX_RECORDS
LISTINGS = (EndpointState.SERVING, EndpointState.DRAINING, EndpointState.REMOVED)  # by the state of a record
STATES = {listing: state for state, listing in enumerate(LISTINGS)}


class FrameKind(IntEnum):
    """The content of a frame."""

    HEARTBEAT = 0  # no records
    SNAPSHOT = 1  # all workers
    DELTA = 2  # the workers that have changed


class FrameError(Exception):
    """Bytes that are no valid frame; the data after them can't be decoded."""


class Record(msgspec.Struct, frozen=True):
    """A worker in an event. `weight` is in thousandths, `started` in Unix milliseconds (0: long ago)."""

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
        """The state of the worker.

        A record with an unknown state or port 0 counts as draining, so that the worker gets no new work and
        the other records of the event still apply.
        """
        listing = LISTINGS[self.state] if self.state < len(LISTINGS) else EndpointState.DRAINING
        return listing if self.port or listing is EndpointState.REMOVED else EndpointState.DRAINING

    @property
    def name(self) -> str:
        """The worker's name: its id in text form."""
        return f"s-{self.id:08x}"

    @property
    def address(self) -> str:
        """Host and port as text."""
        return ".".join(str(self.host >> shift & 255) for shift in (24, 16, 8, 0)) + f":{self.port}"


class Frame(msgspec.Struct, frozen=True):
    """One event of the board, or a heartbeat with the revision of the last event."""

    revision: int
    kind: FrameKind
    records: tuple[Record, ...] = ()


class FrameDecoder:
    """Decodes the frames of one connection."""

    def __init__(self) -> None:
        self.buffer = b""
        self.frames: list[Frame] = []  # decoded by the last `feed`

    def feed(self, data: bytes) -> list[Frame]:
        """Decode the complete frames. Raises FrameError; `frames` then holds the valid frames before it."""
        data = self.buffer + data
        self.frames = []
        start = 0
        while len(data) - start >= LENGTH_BYTES:
            length = int.from_bytes(data[start : start + LENGTH_BYTES], "big")
            if not MIN_LENGTH <= length <= MAX_LENGTH:
                raise FrameError(f"a frame of {length} bytes")
            end = start + LENGTH_BYTES + length
            if len(data) < end:
                break
            self.frames.append(decode_frame(data[start:end]))
            start = end
        self.buffer = data[start:]
        return self.frames


def decode_frame(data: bytes) -> Frame:
    """Decode one complete frame. Raises FrameError."""
    _, revision, kind = HEAD.unpack_from(data)
    size = len(data) - HEAD.size
    if kind > FrameKind.DELTA or (kind == FrameKind.HEARTBEAT and size) or size % RECORD.size:
        raise FrameError(f"kind {kind} with {size} bytes")
    records = tuple(Record(*fields) for fields in RECORD.iter_unpack(data[HEAD.size :]))
    return Frame(revision, FrameKind(kind), records)
