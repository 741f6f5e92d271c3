"""Small JSON files that are complete at any moment: with this content, or the one before it."""

import os
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class StoredFileError(ValueError):
    """A stored file does not hold what its reader expects.

    `path` names the file, `reason` says what was found and what was expected.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


def read_atomic(path: Path, decoder: msgspec.json.Decoder[T]) -> T:
    """Return the file's value.

    Raises OSError where it can't be read, and StoredFileError where the decoder does not take it.
    """
    try:
        return decoder.decode(path.read_bytes())
    except msgspec.MsgspecError as error:
        raise StoredFileError(path, str(error)) from None


def write_atomic(path: Path, data: bytes) -> None:
    """Replace the file's content, entirely or not at all. Raises OSError.

    The data go to a file beside it, which is flushed to disk and renamed; then the folder is flushed, since
    the rename itself is on disk only with it.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
