"""Persistence of the figures that an edge has learned of its methods, over restarts and changes of workers.

Stored names are mapped by `name=`, so that files of earlier versions stay readable.
"""

from pathlib import Path
from typing import Annotated

import msgspec

from lapistrestle.store.atomic_files import StoredFileError, read_atomic, write_atomic

FORMAT_VERSION = 1
"""Format version of the file; files of another version are rejected."""

StoredFigure = Annotated[float, msgspec.Meta(ge=0, le=36_000_000)]
"""A mean, at most an hour in ticks of 0.1 ms; 0: unknown."""


class LearnedMethod(msgspec.Struct, forbid_unknown_fields=True):
    """The learned figures of one method.

    The deadlines, in ticks, reveal whether the method was redefined under the same name. `isolated_latency`
    is the latency in ticks of a typical request without concurrent ones, `usual_work` the mean of the work
    that clients estimate, in their own unit.
    """

    soft_deadline: int
    deadline: int
    isolated_latency: StoredFigure = msgspec.field(name="alone")
    usual_work: StoredFigure = msgspec.field(name="hint")


class LearnedState(msgspec.Struct):
    """The file's content: the learned figures by method."""

    format_version: int = msgspec.field(name="shape")
    methods: dict[str, LearnedMethod]


_DECODER = msgspec.json.Decoder(LearnedState)


def read_learned_state(path: Path) -> dict[str, LearnedMethod]:
    """Return the learned figures by method.

    Raises OSError if the file can't be read, and StoredFileError if it is invalid or of another version.
    """
    state = read_atomic(path, _DECODER)
    if state.format_version != FORMAT_VERSION:
        raise StoredFileError(path, f"is of shape {state.format_version}; expected {FORMAT_VERSION}")
    return state.methods


def write_learned_state(path: Path, methods: dict[str, LearnedMethod]) -> None:
    """Replace the file's content. Raises OSError and leaves the previous content if that fails."""
    write_atomic(path, msgspec.json.encode(LearnedState(FORMAT_VERSION, methods)))
