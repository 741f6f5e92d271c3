"""Entries of the planner's journal: everything that changes its state.

An entry is one JSON object; its bytes are kept for as long as the journal, so stored names are mapped here
and the rest of the program uses the fields' own. Times are ticks of 0.1 ms since the planner's first start.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lapistrestle.rollout_types import DEFAULT_STEPS, RolloutAction
from lapistrestle.ticks import SECOND

Name = Annotated[str, Meta(min_length=1, max_length=200)]


DEFAULT_RETENTION = 60 * SECOND
"""Ticks (one minute) for which clients may come back from a version, unless a command says otherwise."""


class Entry(Struct, tag_field="is", omit_defaults=True, kw_only=True):
    """What all entries share: `at`, the time of the entry in ticks."""

    at: int


class CommandEntry(Entry, tag="command"):
    """An operator's command.

    `id` is the command's own: one that comes twice is answered as the first time. `steps` are weights from 0
    to 1; `retention` is in ticks.
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
    """An edge's running counts of one minute of one candidate's step.

    `start` identifies the edge's start: its counts begin anew at each. `counts` are those of the settled
    version, the bad ones of them, those of the candidate, and the bad ones of them.
    """

    edge: Name
    start: str
    function: Name = msgspec.field(name="fn")
    candidate: str
    step: int
    minute: int
    counts: tuple[int, int, int, int]


class TickEntry(Entry, tag="look"):
    """Time has passed; `functions_ready` are those whose replicas for the next step are loaded."""

    functions_ready: tuple[str, ...] = msgspec.field(default=(), name="warm")


JournalEntry = CommandEntry | OutcomeEntry | TickEntry

_DECODER = msgspec.json.Decoder(JournalEntry)
_ENCODER = msgspec.json.Encoder()


def decode_entry(data: bytes) -> JournalEntry:
    """Return the entry of these bytes. Raises msgspec.MsgspecError where they are none."""
    return _DECODER.decode(data)


def encode_entry(entry: JournalEntry) -> bytes:
    """Return the bytes that `decode_entry` reads."""
    return _ENCODER.encode(entry)
