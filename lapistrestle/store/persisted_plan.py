"""The last plan that an edge was told, in a file: whole at any moment, or the one before it."""

from pathlib import Path

import msgspec

from lapistrestle.store.atomic_files import read_atomic, write_atomic
from lapistrestle.wire.plans import SplitMessage


class PersistedPlan(msgspec.Struct):
    """What an edge goes on from when it starts and no planner answers."""

    epoch: int
    number: int
    splits: list[SplitMessage] = msgspec.field(name="shares")
    barred: list[str] = []  # versions that were withdrawn, also those whose rollout is over


READ = msgspec.json.Decoder(PersistedPlan)


class PersistedPlanFile:
    """One edge's. A write goes to a file beside it, is flushed, and takes its place."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> PersistedPlan | None:
        """None where there is none. Raises OSError or ValueError, with the file's name, where it can't be
        read."""
        try:
            return read_atomic(self.path, READ)
        except FileNotFoundError:
            return None

    def write(self, kept: PersistedPlan) -> None:
        """Raises OSError; what was there before then still is."""
        write_atomic(self.path, msgspec.json.encode(kept))
