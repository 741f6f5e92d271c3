"""Copies that a rollout wants before its share grows: how many, where, and in what order. No I/O."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.rollout.stock import (
    APART,
    HEAVIEST,
    MEMORY_PART,
    MOST,
    SLOWER,
    WANTED,
    Lack,
    Phase,
    Readiness,
    Shelf,
    Want,
    Word,
    heavier,
    keep,
    needed,
    phase,
    room,
    slower,
    spread,
)
from lapistrestle.rollout.versions import Split


class Orders:
    """Takes so many orders."""

    def __init__(self, most=100):
        self.most, self.given = most, []

    def __call__(self, shelf, count):
        if len(self.given) >= self.most:
            return False
        self.given.append((shelf, count))
        return True


def test_what_the_share_keeps_busy_and_its_square_root():
    assert needed(busy=4.0, share=0.25, lanes=1, edges=1) == 2
    assert needed(busy=4.0, share=1.0, lanes=1, edges=4) == 16 + 4
    assert needed(busy=4.0, share=1.0, lanes=4, edges=4) == 5
    assert needed(busy=0.0, share=1.0, lanes=1, edges=4) == needed(1.0, 0.0, 1, 4) == 0


def test_a_heavy_function_counts_for_more_but_a_jam_does_not_count_for_all():
    assert heavier(alone=150, usual=100) == 1.5 and heavier(50, 100) == 1.0
    assert heavier(alone=25_000, usual=980) == HEAVIEST


def test_a_far_slower_candidate_holds_the_step_and_says_so():
    assert slower(900, 400) == "an answer takes 2.2 times as long as the settled version's"
    assert slower(SLOWER * 400 - 1, 400) == slower(None, 400) == slower(900, None) == ""


def test_room_is_a_part_of_memory_and_few():
    assert room(memory=8_000, copy=1_000) == int(MEMORY_PART * 8_000 / 1_000)
    assert room(memory=80_000, copy=500) == room(memory=0, copy=500) == MOST  # not told
    assert room(memory=8_000, copy=6_000) == 1  # above the part, but it fits
    assert room(memory=8_000, copy=9_000) == 0


def test_a_want_follows_up_at_once_and_down_only_when_it_is_clearly_less():
    want = Want()
    assert [want.follow(n) for n in (3, 5, 4, 3, 5, 2, 3, 0)] == [3, 5, 5, 5, 5, 2, 3, 0]


@given(
    rooms=st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=8),
    wanted=st.integers(0, 20),
)
def test_a_spread_keeps_to_rooms_and_says_what_is_short(rooms, wanted):
    shelves = [Shelf(0, size, cold=cold) for size, cold in rooms]
    parts, short = spread(shelves, wanted)
    assert all(0 < part <= shelf.room for shelf, part in parts.items())
    assert sum(parts.values()) + short == (max(wanted, APART) if wanted else 0)
    warm = [s for s in shelves if not s.cold and s.room]
    if any(s.cold for s in parts):
        assert all(s in parts for s in warm)  # cold workers only once no warm one is left


def test_even_one_copy_is_kept_on_two_workers():
    shelves = [Shelf(0, 4), Shelf(0, 4), Shelf(0, 4)]
    assert spread(shelves, 1)[0] == {shelves[0]: 1, shelves[1]: 1}
    assert spread(shelves, 6)[0] == {shelves[0]: 3, shelves[1]: 3}


def test_it_is_whole_once_all_stand_and_orders_nothing_then():
    orders = Orders()
    stand = keep([Shelf(2, 4), Shelf(3, 4)], 4, loads=9, order=orders)
    assert stand.enough and (stand.wanted, stand.standing) == (4, 4) and not orders.given


def test_what_is_missing_is_ordered_no_faster_than_loads_may_be_under_way():
    shelves, orders = [Shelf(0, 2) for _ in range(6)], Orders()
    stand = keep(shelves, 12, loads=3.5, order=orders)
    assert orders.given == [(shelves[0], 2), (shelves[1], 2)] and stand.lacks is Lack.LOADS
    for shelf, _ in orders.given:
        shelf.waiting = True
    keep(shelves, 12, loads=3.5, order=orders)  # those four are still under way
    assert len(orders.given) == 2


def test_copies_not_confirmed_lately_are_asked_for_again_before_any_load():
    shelves = [Shelf(0, 2), Shelf(2, 2, fresh=False), Shelf(2, 2, fresh=False, waiting=True)]
    orders = Orders()
    keep(shelves, 6, loads=9, order=orders)
    assert orders.given == [(shelves[1], 2), (shelves[0], 2)]


def test_a_part_of_the_spare_may_lack_but_never_the_second_worker():
    assert keep([Shelf(2, 4), Shelf(1, 4)], 4, 0, Orders()).enough
    assert not keep([Shelf(1, 4), Shelf(1, 4)], 4, 0, Orders()).enough
    assert not keep([Shelf(1, 4), Shelf(0, 4)], 1, 0, Orders()).enough


@pytest.mark.parametrize(
    ("shelves", "loads", "most", "lacks"),
    [
        ([], 9, 9, Lack.WORKERS),
        ([Shelf(1, 1)], 9, 9, Lack.ROOM),
        ([Shelf(0, 4), Shelf(0, 4)], 9, 0, Lack.ORDERS),
        ([Shelf(0, 4), Shelf(0, 4)], 0, 9, Lack.LOADS),
    ],
)
def test_it_says_what_is_lacking(shelves, loads, most, lacks):
    stand = keep(shelves, 4, loads, Orders(most))
    assert stand.lacks is lacks and not stand.enough


def test_the_phase_says_what_each_version_is_loaded_for():
    loading = Split("f", "v1", "v2", 0.1, 0.1, next=0.5)
    assert phase(loading) is Phase.LOADING and WANTED[Phase.LOADING] == (None, 1.0)
    assert phase(Split("f", "v1", "v2", 1.0, 1.0, done=True)) is Phase.KEPT
    assert phase(Split("f", "v1", "v2", 0.0, 1.0, withdrawn=True)) is Phase.BACK
    assert set(WANTED) == set(Phase) and {settled for _, settled in WANTED.values()} == {1.0}


def test_edges_that_share_an_order_ask_for_the_same_copies():
    """Each holds the whole fleet's need on the same workers: the largest wish counts, nothing adds up."""
    asked = Counter()
    for busy in (2.0, 2.5, 1.5):  # three edges with about a third of the traffic each
        orders = Orders()
        keep([Shelf(0, 3) for _ in range(8)], needed(busy, 1.0, 1, 3), 99, orders)
        for place, (_, count) in enumerate(orders.given):
            asked[place] = max(asked[place], count)
    assert needed(2.0, 1.0, 1, 3) <= sum(asked.values()) <= needed(2.5, 1.0, 1, 3) + 2


# readiness, at the planner


def test_all_connected_edges_must_have_said_so_lately():
    ready = Readiness()
    assert not ready.ready("f", "v2", 0.1, [], 0)  # nobody serves
    ready.told("f", "v2", "a", Word(0.5, "", 0))
    assert ready.ready("f", "v2", 0.5, ["a"], 100) and not ready.ready("f", "v2", 0.6, ["a"], 100)
    assert set(ready.missing("f", "v2", 0.5, ["a", "b"], 100)) == {"b"}
    assert not ready.ready("f", "v2", 0.5, ["a"], ready.good_for + 1)
    ready.told("f", "v2", "b", Word(0.1, "no order is free", 100))
    assert ready.missing("f", "v2", 0.5, ["a", "b"], 200) == {"b": "no order is free"}
    ready.gone("b")
    assert "b" in ready.missing("f", "v2", 0.5, ["b"], 200)
