"""The last plan that an edge was told, in a file: whole at any moment, or the one before it."""

import os
from pathlib import Path

import msgspec

from lapistrestle.wire.plans import Share


class Kept(msgspec.Struct):
    """What an edge goes on from when it starts and no planner answers."""

    epoch: int
    number: int
    shares: list[Share]
    barred: list[str] = []  # versions that were withdrawn, also those whose rollout is over


READ = msgspec.json.Decoder(Kept)


class PlanFile:
    """One edge's. A write goes to a file beside it, is flushed, and takes its place."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> Kept | None:
        """None where there is none. Raises OSError or ValueError, with the file's name, where it can't be
        read."""
        try:
            return READ.decode(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except msgspec.MsgspecError as trouble:
            raise ValueError(f"{self.path}: {trouble}") from None

    def write(self, kept: Kept) -> None:
        """Raises OSError; what was there before then still is."""
        put(self.path, msgspec.json.encode(kept))


def put(path: Path, data: bytes) -> None:
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
