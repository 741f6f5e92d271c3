"""The last plan that an edge received, in a file that is complete at any moment, or the one before it."""

from pathlib import Path

import msgspec

from lapistrestle.store.atomic_files import read_atomic, write_atomic
from lapistrestle.wire.plans import SplitMessage


class PersistedPlan(msgspec.Struct):
    """What an edge goes on from when it starts and no planner answers.

    `epoch` and `number` are the plan's; `barred` names versions that were withdrawn, also those whose
    rollout is over.
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
        """Return the plan, None where there is no file.

        Raises OSError where it can't be read, and StoredFileError where it holds no plan.
        """
        try:
            return read_atomic(self.path, _DECODER)
        except FileNotFoundError:
            return None

    def write(self, plan: PersistedPlan) -> None:
        """Replace the plan. Raises OSError; what was there before then still is."""
        write_atomic(self.path, msgspec.json.encode(plan))
