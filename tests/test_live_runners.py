"""A new process at the address of a runner that has gone is not taken for it."""

import asyncio
import os
from collections import defaultdict
from pathlib import Path

import pytest
from live_dispatcher import CHANGES, GONE, LiveDispatcher, LiveRunner, live

CELLS = 2
KEYED = {"HTTP_X_DEDUPE_KEY": "5c0f6e1a2b3d4c59"}
BETWEEN = 0.02  # seconds between two replacements
TOLD_AFTER = 0.6  # seconds after a replacement until the board tells


async def replace(dispatcher: LiveDispatcher, old: LiveRunner, number: int, told_after: float) -> None:
    """A runner dies; another one, of another cell, listens at its address at once. The board tells later."""
    new = LiveRunner(number, (old.cell + 1) % CELLS, old.work, dispatcher.runs)
    old.die()
    await new.listen(old.port)
    dispatcher.runners[dispatcher.runners.index(old)] = new
    if told_after:
        await asyncio.sleep(told_after)
    dispatcher.board.publish(CHANGES, old.row(GONE), new.row())


def cells_by_id(dispatcher: LiveDispatcher) -> dict[str, set[int]]:
    """The cells in which each call has run."""
    cells = defaultdict(set)
    for run in dispatcher.runs:
        cells[run.id].add(run.cell)
    return cells


@pytest.mark.parametrize("warm_up", [0.0, 1.0, 6.0])
@pytest.mark.parametrize("told_after", [0.0, TOLD_AFTER])
def test_a_keyed_call_never_runs_in_two_cells_while_runners_are_replaced_at_their_addresses(
    told_after: float, warm_up: float, tmp_path: Path
) -> None:
    """Guards against taking whoever listens at an address for the process that the list names."""

    async def play() -> LiveDispatcher:
        async with live(tmp_path, runners=6, cells=CELLS, work=0.3) as dispatcher:
            functions = [os.urandom(8).hex() for _ in range(12)]
            usual = [
                asyncio.ensure_future(
                    dispatcher.traffic(warm_up + 4.0, 10, 1, method="publish", function=function, **KEYED)
                )
                for function in functions
            ]
            await asyncio.sleep(warm_up + 0.5)
            replacements = []
            for i, old in enumerate(list(dispatcher.runners)):
                replacements.append(asyncio.ensure_future(replace(dispatcher, old, 100 + i, told_after)))
                await asyncio.sleep(BETWEEN)
            await asyncio.gather(*replacements)
            for traffic in usual:
                assert (await traffic).unanswered() == 0
            return dispatcher

    dispatcher = asyncio.run(play())
    cells = cells_by_id(dispatcher)
    assert len(cells) > 100
    assert [call_id for call_id, ran_in in cells.items() if len(ran_in) > 1] == []
