"""Timers after a stand-still: late ones wait for the input that was there before them."""

from lapistrestle.hosting.timers import Timers
from lapistrestle.hosting.turns import MAX_DEFERRED_ITERATIONS, STALL_THRESHOLD, Turns


def test_timers_on_time_fire_at_once() -> None:
    turns = Turns()
    assert turns.may_fire(1_000, 1_000, 0) and turns.may_fire(2_000 + STALL_THRESHOLD, 2_000, 9)


def test_late_timers_wait_until_nothing_more_is_heard() -> None:
    turns = Turns()
    assert [turns.may_fire(9_000, 1_000, heard) for heard in (5, 8, 9, 9)] == [False, False, False, True]
    assert turns.may_fire(9_001, 9_001, 9)


def test_input_without_end_does_not_hold_timers_for_ever() -> None:
    turns = Turns()
    fired = [turns.may_fire(9_000, 1_000, heard) for heard in range(MAX_DEFERRED_ITERATIONS + 2)]
    assert fired.index(True) == MAX_DEFERRED_ITERATIONS


def test_timers_come_in_order_and_stopped_ones_not_at_all() -> None:
    timers, fired = Timers(), list[str]()
    later = timers.at(30, fired.append, "later")
    timers.at(10, fired.append, "first")
    timers.at(10, fired.append, "second")
    timers.at(20, fired.append, "stopped").stop()
    assert timers.pop(9) is None and timers.next() == 10
    while (timer := timers.pop(25)) is not None:
        timer.call(timer.arg)
    assert fired == ["first", "second"] and timers.next() == 30
    later.stop()
    assert timers.next() is None and timers.heap == []
