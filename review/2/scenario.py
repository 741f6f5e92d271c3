"""Drains during an outage of discovery; the board that is back breaks off in the middle of telling them."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import TROUBLE, Fleet, functions, play
from record import Record
from runner import Traits

OUTAGE = 8.0  # seconds for which the board is down: new connections are refused
ASKING = 0.5  # seconds within which the dispatchers ask the board that is back, before it answers
SECOND_OUTAGE = 1.0  # seconds
GRACE = 2.0  # rules.drain-grace
TOLERANCE = 0.05  # by which the protocol page makes each limit longer
COUNTS_AS_TOLD = 4.0  # seconds after the beginning of an outage, at the latest
DRAINED = 5  # runners, one after the other
RATE = 60.0  # requests a second at each dispatcher


async def come_back(record: Record, fleet: Fleet) -> None:
    """Let the board come back, break off in the middle of the second event that it tells, and come back."""
    fleet.board.answers.clear()
    await fleet.board.open()
    record.add("board up")
    await asyncio.sleep(ASKING)
    fleet.board.break_off_amid()
    fleet.board.answers.set()
    await asyncio.sleep(SECOND_OUTAGE)
    await fleet.board.open()
    record.add("board up")


async def scenario(record: Record, folder: str) -> bool:
    """Play it; whether nothing new went to a draining runner after the grace."""
    fleet = Fleet(record, folder, runners=10, edges=2, traits=Traits(work=0.04))
    await fleet.start()
    try:
        for edge in fleet.edges:
            fleet.spawn(fleet.traffic(edge, RATE, functions(40)))
        await asyncio.sleep(10)
        began = record.now()
        if TROUBLE:
            fleet.board.break_off()
        told_by: dict[str, float] = {}
        for entry in list(fleet.board.listed.values())[-DRAINED:]:
            await asyncio.sleep(0.8)
            entry.state = 1
            fleet.runners[entry.name].draining = True
            fleet.board.publish(entry)
            told = max(record.now(), began + COUNTS_AS_TOLD) if TROUBLE else record.now()
            told_by[entry.name] = told - record.started_at
        await asyncio.sleep(began + OUTAGE - record.now())
        if TROUBLE:
            await come_back(record, fleet)
        await asyncio.sleep(5)
    finally:
        await fleet.end()
    late = [
        event
        for event in record.of("run", "hold")
        if event["runner"] in told_by and event["at"] > told_by[event["runner"]] + GRACE + TOLERANCE
    ]
    for event in late:
        after = round(event["at"] - told_by[event["runner"]], 3)
        record.add("late", what=event["event"], runner=event["runner"], after_told=after)
    answers = record.of("answered")
    served = sum(answer["status"] == 200 for answer in answers)
    record.add("result", late=len(late), answered=len(answers), served=served)
    print(f"{len(late)} calls or orders to draining runners after the grace; {served}/{len(answers)} served")
    return not late


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), scenario))
