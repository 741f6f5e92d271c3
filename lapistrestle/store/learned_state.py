"""What an edge has learned of its methods, in a file that outlives a restart and a move to other workers.

The stored names are mapped here: figures of earlier versions are read and written unchanged.
"""

from pathlib import Path
from typing import Annotated

import msgspec

from lapistrestle.store.atomic_files import StoredFileError, read_atomic, write_atomic

FORMAT_VERSION = 1
"""Of the file; one of another version is not read."""

StoredFigure = Annotated[float, msgspec.Meta(ge=0, le=36_000_000)]
"""A mean, up to an hour in ticks of 0.1 ms; 0: not known."""


class LearnedMethod(msgspec.Struct, forbid_unknown_fields=True):
    """What was learned of one method.

    The deadlines, in ticks, tell whether the method's name still means the same. `isolated_latency` is what
    a usual request takes with nothing beside it, `usual_work` the mean of what clients say of their
    requests' work, in their own unit.
    """

    soft_deadline: int
    deadline: int
    isolated_latency: StoredFigure = msgspec.field(name="alone")
    usual_work: StoredFigure = msgspec.field(name="hint")


class LearnedState(msgspec.Struct):
    """The file's content: what was learned, by method."""

    format_version: int = msgspec.field(name="shape")
    methods: dict[str, LearnedMethod]


_DECODER = msgspec.json.Decoder(LearnedState)


def read_learned_state(path: Path) -> dict[str, LearnedMethod]:
    """Return what was learned, by method.

    Raises OSError where the file can't be read, and StoredFileError where it is of another format.
    """
    state = read_atomic(path, _DECODER)
    if state.format_version != FORMAT_VERSION:
        raise StoredFileError(path, f"is of shape {state.format_version}; expected {FORMAT_VERSION}")
    return state.methods


def write_learned_state(path: Path, methods: dict[str, LearnedMethod]) -> None:
    """Replace the file's content. Raises OSError; what was there before then still is."""
    write_atomic(path, msgspec.json.encode(LearnedState(FORMAT_VERSION, methods)))
