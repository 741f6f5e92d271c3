"""Whole days in virtual time: the five rules hold on the tape, whatever fault is injected."""

import typing

import pytest
from days import Played, day

from lapistrestle.standins.faults.kinds import FAULTS
from lapistrestle.standins.play import VirtualEdge
from lapistrestle.standins.script import FaultKind

KINDS = typing.get_args(FaultKind)
PAIRS = [
    ("crash", "balancer_stall"), ("zone_loss", "discovery_stale"), ("deploy", "hot_key"),
    ("preempt", "edge_kill"), ("slow", "garbled"), ("refused", "delayed"), ("burst", "store_slow"),
    ("silent", "retry_abuse"), ("pauses", "broken"), ("scan", "throttle"), ("neighbour", "report_late"),
    ("unread", "edge_kill"), ("roster_back", "zone_loss"), ("roster_gap", "deploy"),
    ("roster_restart", "crash"), ("fast_errors", "split"),
]  # fmt: skip


def assert_rules_kept(played: Played) -> None:
    assert played.violations() == []
    assert not played.logged("module raised") and not played.logged("deadline guarded")
    assert played.world.clients.open == 0
    started = typing.cast(list[VirtualEdge], played.world.edges)
    edges = [edge for edge in started if not edge.process.dead]
    assert edges
    for edge in edges:
        host = edge.edge.host
        assert (host.open_requests, host.worker_calls) == (0, {}), edge.name
        late = [e for e in host.tasks.values() if host.clock() - e.sent_at > host.settings.preload_timeout]
        assert not late, edge.name  # preloads continue when traffic has stopped, but each ends in time


def test_every_kind_of_fault_can_be_scripted() -> None:
    assert set(KINDS) == set(FAULTS)


@pytest.mark.parametrize("kind", KINDS)
def test_one_fault_alone(kind: str) -> None:
    played = Played(day("thumbs", [{"kind": kind}]))
    assert_rules_kept(played)
    assert [kind] == [kind for _, kind, _ in played.trace.faults]
    assert played.world.clients.counts["ok"] > 0.75 * played.world.clients.counts["wishes"]


@pytest.mark.parametrize("pair", PAIRS, ids="+".join)
@pytest.mark.parametrize("like", ["slots", "archive"])
def test_two_overlapping_faults(like: str, pair: tuple[str, str]) -> None:
    first, second = pair
    assert_rules_kept(
        Played(day(like, [{"kind": first, "share": 0.4}, {"kind": second, "at": "4 s", "share": 0.4}]))
    )


@pytest.mark.parametrize(
    ("like", "seed", "rate"), [("thumbs", 1, 90), ("thumbs", 11, 60), ("archive", 1, 60), ("archive", 5, 90)]
)
def test_replacing_a_fleet_at_once_does_not_overload_runners_in_slow_start(
    like: str, seed: int, rate: int
) -> None:
    """Runners in slow start must not be sent more than they can take, by all dispatchers together.

    On these days the few new runners were sent the traffic of the whole fleet.
    """
    faults = [
        {"kind": "deploy", "at": "6 s", "lasts": "1 s", "share": 0.4},
        {"kind": "preempt", "at": "8.6 s", "lasts": "0.4 s", "share": 0.8},
    ]
    assert_rules_kept(
        Played(day(like, faults[::-1], seed, length="12 s", traffic={"rate": rate, "functions": 20}))
    )


def test_the_same_seed_gives_the_same_tape_and_another_a_different_one() -> None:
    faults = [{"kind": "zone_loss"}, {"kind": "garbled"}, {"kind": "edge_kill"}]
    tapes = [Played(day("thumbs", faults, seed, length="6 s")).tape for seed in (3, 3, 4)]
    assert tapes[0] == tapes[1] != tapes[2]


def test_clients_of_a_killed_edge_use_the_others() -> None:
    played = Played(day("thumbs", [{"kind": "edge_kill", "share": 0.4, "lasts": "3 s"}]))
    assert_rules_kept(played)
    (killed,) = played.trace.kills
    answered = {c.edge for c in played.trace.calls if 3_500 < c.at < 5_500 and c.answers}
    assert answered == set(played.trace.header["edges"]) - {killed}
    again = [c for c in played.trace.calls if c.edge == killed and c.at > 6_500 and c.answers]
    assert again  # it serves again after its restart
