"""The edge's list of workers: which lists of the roster are applied, and when a runner's notice is newer."""

import pytest

from lapistrestle.edge.known_workers import EndpointListFollower
from lapistrestle.policy.types import EndpointState
from lapistrestle.sources.numbered_list import TRANSITIONS, ListAction, ListEvent, ListState
from lapistrestle.wire.messages import RosterEntry, RosterSnapshot, RosterUpdate

A = RosterEntry("a", 1000, "north", start="a#0", up_for=60_000.0)
B = RosterEntry("b", 1001, "south", start="b#0", up_for=60_000.0)


def whole(number: int, *entries: RosterEntry, epoch: str = "e") -> RosterSnapshot:
    return RosterSnapshot(number, list(entries), epoch)


def change(number: int, *entries: RosterEntry, epoch: str = "e") -> RosterUpdate:
    return RosterUpdate(number, list(entries), epoch)


@pytest.fixture
def list_() -> EndpointListFollower:
    followed = EndpointListFollower(["north", "south"], [], lambda text: None)
    followed.message_received(whole(5, A, B), 1_000_000)
    return followed


def test_changes_in_sequence_are_applied_and_repeats_ignored(list_: EndpointListFollower) -> None:
    taken = list_.message_received(
        change(6, RosterEntry("a", 1000, start="a#0", listing="draining")), 1_000_000
    )
    assert taken.action is ListAction.APPLY and taken.workers[0].endpoint_state is EndpointState.DRAINING
    assert list_.message_received(change(6, A), 1_000_000).action is ListAction.IGNORE


def test_a_gap_requests_the_whole_list_once_and_that_resolves_it(list_: EndpointListFollower) -> None:
    assert list_.message_received(change(8, A), 1_000_000).action is ListAction.REQUEST_SNAPSHOT
    assert list_.message_received(change(9, A), 1_000_000).action is ListAction.IGNORE
    taken = list_.message_received(whole(9, B), 1_000_000)
    assert taken.action is ListAction.APPLY and taken.whole and ("a", 0, "") in taken.addresses
    assert list_.state is ListState.IN_SEQUENCE


def test_a_list_that_jumps_back_is_applied_only_when_received_twice(list_: EndpointListFollower) -> None:
    assert list_.message_received(whole(3, A), 1_000_000).action is ListAction.REQUEST_SNAPSHOT
    assert list_.message_received(whole(3, A), 1_000_000).action is ListAction.APPLY
    assert list_.number == 3


def test_one_stale_list_does_not_bring_back_removed_workers(list_: EndpointListFollower) -> None:
    list_.message_received(change(6, RosterEntry("a", listing="gone", start="a#0")), 1_000_000)
    assert list_.message_received(whole(5, A, B), 1_000_000).action is ListAction.REQUEST_SNAPSHOT
    assert list_.message_received(whole(6, B), 1_000_000).action is ListAction.APPLY
    assert set(list_.known) == {"b"}


def test_numbers_that_restart_are_accepted_with_their_whole_list(list_: EndpointListFollower) -> None:
    assert list_.message_received(change(1, A, epoch="f"), 1_000_000).action is ListAction.REQUEST_SNAPSHOT
    assert list_.message_received(whole(1, A, epoch="f"), 1_000_000).action is ListAction.APPLY


def test_an_empty_list_removes_all_workers(list_: EndpointListFollower) -> None:
    taken = list_.message_received(whole(6), 1_000_000)
    assert taken.action is ListAction.APPLY and taken.whole and not list_.known


def test_the_time_of_a_start_is_computed_once(list_: EndpointListFollower) -> None:
    before = list_.known["a"].booted
    taken = list_.message_received(change(6, RosterEntry("a", 1000, start="a#0", up_for=61_007.0)), 1_010_000)
    assert taken.workers[0].booted_at == before == 1_000_000 - 600_000


def test_a_runners_greeting_is_newer_than_the_list(list_: EndpointListFollower) -> None:
    (facts,) = list_.greeting_received("a", "a#1", 500.0, False, 1_000_000)
    assert facts.booted_at == 995_000
    taken = list_.message_received(change(6, A), 1_000_000)
    assert taken.workers[0].booted_at == 995_000  # the list still names the start before
    assert list_.greeting_received("a", "a#1", 900.0, False, 1_004_000) == ()


def test_a_runners_notice_of_a_drain_holds_until_its_next_start(list_: EndpointListFollower) -> None:
    (facts,) = list_.drain_announced("a", "a#0")
    assert facts.endpoint_state is EndpointState.DRAINING
    assert list_.message_received(change(6, A), 1_000_000).workers[0].endpoint_state is EndpointState.DRAINING
    again = RosterEntry("a", 1007, "north", start="a#1", up_for=0.0)
    assert (
        list_.message_received(change(7, again), 1_000_000).workers[0].endpoint_state is EndpointState.SERVING
    )
    assert list_.drain_announced("a", "a#0") == () and list_.drain_announced("nobody", "x") == ()


def test_the_table_covers_every_state_and_event() -> None:
    assert set(TRANSITIONS) == {(mode, news) for mode in ListState for news in ListEvent}
