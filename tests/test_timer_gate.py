"""Timers after a stall: overdue ones are deferred until the sockets were polled once."""

from lapistrestle.hosting.timer_gate import OVERDUE_THRESHOLD, TimerGate
from lapistrestle.hosting.timers import Timers


def test_timers_on_time_fire_at_once() -> None:
    gate = TimerGate()
    assert gate.may_fire(1_000, 1_000) and gate.may_fire(2_000 + OVERDUE_THRESHOLD, 2_000)


def test_overdue_timers_are_deferred_for_one_iteration() -> None:
    gate = TimerGate()
    assert [gate.may_fire(9_000, 1_000) for _ in range(2)] == [False, True]
    assert gate.may_fire(9_001, 9_001)


def test_a_second_stall_defers_timers_again() -> None:
    gate = TimerGate()
    fired = [gate.may_fire(now, due) for now, due in [(9_000, 1_000), (9_001, 1_000), (20_000, 15_000)]]
    assert fired == [False, True, False]


def test_iterations_that_all_take_long_defer_timers_by_one_of_them() -> None:
    """Guards against deferring timers for many iterations, which take seconds while input never ends."""
    gate, iteration_ticks = TimerGate(), 1_000
    fired = [gate.may_fire(i * iteration_ticks, (i - 1) * iteration_ticks) for i in range(1, 31)]
    assert fired == [False, True] * 15


def test_timers_fire_in_order_and_stopped_ones_never() -> None:
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
