"""Small JSON files replaced atomically: after a crash a file has its new or its previous content."""

import os
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class StoredFileError(ValueError):
    """The content of a stored file is invalid.

    `path` names the file, `reason` says what was found and what was expected.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


def read_atomic(path: Path, decoder: msgspec.json.Decoder[T]) -> T:
    """Return the file's decoded value.

    Raises OSError if it can't be read, and StoredFileError if it can't be decoded.
    """
    try:
        return decoder.decode(path.read_bytes())
    except msgspec.MsgspecError as error:
        raise StoredFileError(path, str(error)) from None


def write_atomic(path: Path, data: bytes) -> None:
    """Replace the file's content atomically. Raises OSError.

    The data is written to a temporary file in the same directory, which is synced and renamed; then the
    directory is synced, as only that makes the rename durable.
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
