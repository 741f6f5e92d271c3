"""Persistence of the last plan that an edge received, in an atomically replaced file."""

from pathlib import Path

import msgspec

from lapistrestle.store.atomic_files import read_atomic, write_atomic
from lapistrestle.wire.plans import SplitMessage


class PersistedPlan(msgspec.Struct):
    """The plan that an edge uses when it starts and no planner answers.

    `epoch` and `number` are those of the plan; `barred` names all withdrawn versions, including those of
    finished rollouts.
    """

    epoch: int
    number: int
    splits: list[SplitMessage] = msgspec.field(name="shares")
    barred: list[str] = []


_DECODER = msgspec.json.Decoder(PersistedPlan)


class PersistedPlanFile:
    """One edge's file at `path`."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> PersistedPlan | None:
        """Return the plan, or None if there is no file.

        Raises OSError if it can't be read, and StoredFileError if it is invalid.
        """
        try:
            return read_atomic(self.path, _DECODER)
        except FileNotFoundError:
            return None

    def write(self, plan: PersistedPlan) -> None:
        """Replace the plan. Raises OSError and leaves the previous one if that fails."""
        write_atomic(self.path, msgspec.json.encode(plan))
