"""Scenarios with many edges, each of which sees little traffic, in virtual time."""

from typing import Any

import json5
import pytest
from days import EXAMPLES, Played, day

from lapistrestle.checks.trace import Call

EDGES = 24

Trouble = dict[str, Any]  # as a day's script has it


def crowd(troubles: list[Trouble], seed: int, **more: Any) -> Played:
    made = json5.loads((EXAMPLES / "archive.json5").read_text())
    made["dispatcher"] |= {"of": EDGES}
    settings = {"length": "14 s", "edges": EDGES, "traffic": {"rate": 70, "functions": 60}} | more
    return Played(day("archive", troubles, seed=seed, deployment=made, **settings))


def ok(calls: list[Call]) -> list[Call]:
    return [c for c in calls if c.answers and c.answers[0][2].verdict == "ok"]


DAYS: dict[str, list[Trouble]] = {
    "calm": [{"kind": "burst", "at": "4 s", "lasts": "6 s", "factor": 1.5}],
    "roll": [
        {"kind": "deploy", "at": "3 s", "lasts": "6 s", "share": 0.5},
        {"kind": "edge_kill", "at": "4 s", "lasts": "500 ms", "share": 0.3},
        {"kind": "edge_kill", "at": "6 s", "lasts": "500 ms", "share": 0.3},
        {"kind": "silent", "at": "3 s", "lasts": "6 s", "share": 0.1},
    ],
    "herd": [
        {"kind": "roster_gap", "at": "2 s", "lasts": "6 s"},
        {"kind": "deploy", "at": "6 s", "lasts": "4 s", "share": 0.5},
        {"kind": "edge_kill", "at": "7 s", "lasts": "1 s", "share": 0.7},
        {"kind": "fast_errors", "at": "4 s", "lasts": "6 s", "share": 0.12},
    ],
    "zone": [
        {"kind": "zone_loss", "at": "4 s", "lasts": "5 s"},
        {"kind": "slow", "at": "4 s", "lasts": "6 s", "share": 0.12, "factor": 4},
    ],
    "split": [
        {"kind": "split", "at": "4 s", "lasts": "5 s"},
        {"kind": "discovery_stale", "at": "4 s", "lasts": "5 s", "by": "2 s"},
        {"kind": "broken", "at": "4 s", "lasts": "5 s", "share": 0.05},
    ],
    "join": [
        {"kind": "deploy", "at": "3 s", "lasts": "5 s", "share": 0.6},
        {"kind": "retry_abuse", "at": "3 s", "lasts": "6 s"},
        {"kind": "delayed", "at": "3 s", "lasts": "6 s", "by": "300 ms", "share": 0.2},
    ],
}


@pytest.mark.parametrize("name", DAYS)
def test_no_rule_is_broken_and_half_of_the_calls_are_served(name: str) -> None:
    played = crowd(DAYS[name], seed=2)
    calls = [c for c in played.trace.calls if 3_000 < c.at < 13_000]
    first = sum(not c.message.is_retry for c in calls)
    assert played.violations() == [] and len(ok(calls)) > 0.5 * first


def test_no_attempt_is_abandoned_for_another_worker_while_all_are_slow() -> None:
    """Guards against retrying elsewhere too early while all workers are slow.

    With a threshold of two thirds of the soft deadline, 24 attempts of these days were abandoned but ran on.
    """
    days = [crowd([{"kind": "burst", "at": "4 s", "lasts": "6 s", "factor": 1.6}], seed) for seed in (1, 3)]
    given_up = sum(run.cancelled_at < 10**9 for played in days for run in played.trace.attempts)
    assert given_up <= 8 and all(played.violations() == [] for played in days)
