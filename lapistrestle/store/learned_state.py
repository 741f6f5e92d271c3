"""What an edge has learnt of its methods, in a file that outlives a restart and a move to other workers."""

from pathlib import Path
from typing import Annotated

import msgspec

from lapistrestle.store.atomic_files import read_atomic, write_atomic

FORMAT_VERSION = 1  # of the file; another one is not read

StoredDuration = Annotated[float, msgspec.Meta(ge=0, le=36_000_000)]  # tenths of a millisecond; 0: none


class LearnedMethod(msgspec.Struct, forbid_unknown_fields=True):
    """Of one method. The deadlines tell whether its name still means the same."""

    soft_deadline: int
    deadline: int
    isolated_latency: StoredDuration = msgspec.field(name="alone")  # latency of a usual RPC
    latency_hint: StoredDuration = msgspec.field(name="hint")


class LearnedState(msgspec.Struct):
    format_version: int = msgspec.field(name="shape")
    methods: dict[str, LearnedMethod]


DECODER = msgspec.json.Decoder(LearnedState)


def read_learned_state(path: Path) -> dict[str, LearnedMethod]:
    """By method. Raises OSError or ValueError, with the file's name, where it can't be read."""
    stored = read_atomic(path, DECODER)
    if stored.format_version != FORMAT_VERSION:
        raise ValueError(f"{path}: is of shape {stored.format_version}; expected {FORMAT_VERSION}")
    return stored.methods


def write_learned_state(path: Path, methods: dict[str, LearnedMethod]) -> None:
    """Raises OSError; what was there before then still is."""
    write_atomic(path, msgspec.json.encode(LearnedState(FORMAT_VERSION, methods)))
