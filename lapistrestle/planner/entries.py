"""Entries of the planner's journal, which are the only inputs to its state.

An entry is one JSON object. Entries are never rewritten, so fields with other stored names are mapped by
`name=`. Times are ticks of 0.1 ms since the planner's first start.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lapistrestle.rollout_types import DEFAULT_STEPS, RolloutAction
from lapistrestle.ticks import SECOND

Name = Annotated[str, Meta(min_length=1, max_length=200)]


DEFAULT_RETENTION = 60 * SECOND
"""Ticks (one minute) for which clients may retry requests on a version, unless a command says otherwise."""


class Entry(Struct, tag_field="is", omit_defaults=True, kw_only=True):
    """Base of all entries; `at` is the time of the entry in ticks."""

    at: int


class CommandEntry(Entry, tag="command"):
    """An operator's command.

    `id` identifies the command, so that a repeated one gets the first answer again. `steps` are weights from
    0 to 1; `retention` is in ticks.
    """

    id: Name
    action: RolloutAction = msgspec.field(name="what")
    function: Name = msgspec.field(name="fn")
    operator: Name = msgspec.field(name="who")
    reason: str = msgspec.field(default="", name="why")
    candidate: str = ""
    steps: tuple[float, ...] = DEFAULT_STEPS
    retention: int = msgspec.field(default=DEFAULT_RETENTION, name="remembered")


class OutcomeEntry(Entry, tag="report"):
    """An edge's cumulative counts of one minute and one step of a candidate.

    `start` identifies one start of the edge, at which its counts restart. `counts` are the requests of the
    settled version, the failed ones of them, those of the candidate, and the failed ones of them.
    """

    edge: Name
    start: str
    function: Name = msgspec.field(name="fn")
    candidate: str
    step: int
    minute: int
    counts: tuple[int, int, int, int]


class TickEntry(Entry, tag="look"):
    """A periodic tick; `functions_ready` are the functions whose replicas for the next step are loaded."""

    functions_ready: tuple[str, ...] = msgspec.field(default=(), name="warm")


JournalEntry = CommandEntry | OutcomeEntry | TickEntry

_DECODER = msgspec.json.Decoder(JournalEntry)
_ENCODER = msgspec.json.Encoder()


def decode_entry(data: bytes) -> JournalEntry:
    """Decode an entry. Raises msgspec.MsgspecError if the bytes are invalid."""
    return _DECODER.decode(data)


def encode_entry(entry: JournalEntry) -> bytes:
    """Encode an entry for `decode_entry`."""
    return _ENCODER.encode(entry)
