"""What an edge has learnt of its methods, in a file that outlives a restart and a move to other workers."""

from pathlib import Path
from typing import Annotated

import msgspec

from lapistrestle.store import files

SHAPE = 1  # of the file; another one is not read

Figure = Annotated[float, msgspec.Meta(ge=0, le=36_000_000)]  # tenths of a millisecond; 0: none


class Learnt(msgspec.Struct, forbid_unknown_fields=True):
    """Of one method. The deadlines tell whether its name still means the same."""

    soft_deadline: int
    deadline: int
    alone: Figure  # latency of a usual RPC
    hint: Figure


class Book(msgspec.Struct):
    shape: int
    methods: dict[str, Learnt]


READ = msgspec.json.Decoder(Book)


def read(path: Path) -> dict[str, Learnt]:
    """By method. Raises OSError or ValueError, with the file's name, where it can't be read."""
    book = files.take(path, READ)
    if book.shape != SHAPE:
        raise ValueError(f"{path}: is of shape {book.shape}; expected {SHAPE}")
    return book.methods


def write(path: Path, methods: dict[str, Learnt]) -> None:
    """Raises OSError; what was there before then still is."""
    files.put(path, msgspec.json.encode(Book(SHAPE, methods)))
