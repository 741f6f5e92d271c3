"""Small JSON files that are whole at any moment: this content, or the one before it."""

import os
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


def read_atomic(path: Path, decoder: msgspec.json.Decoder[T]) -> T:
    """The file's value. Raises OSError, or ValueError with the file's name where it does not fit."""
    try:
        return decoder.decode(path.read_bytes())
    except msgspec.MsgspecError as trouble:
        raise ValueError(f"{path}: {trouble}") from None


def write_atomic(path: Path, data: bytes) -> None:
    """The file's new content, whole or not at all. Raises OSError."""
    beside = path.with_name(path.name + ".new")
    with beside.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
