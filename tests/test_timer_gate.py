"""Timers after a stall: overdue ones are deferred until pending input was read."""

from lapistrestle.hosting.timer_gate import MAX_DEFERRED_ITERATIONS, STALL_THRESHOLD, TimerGate
from lapistrestle.hosting.timers import Timers


def test_timers_on_time_fire_at_once() -> None:
    gate = TimerGate()
    assert gate.may_fire(1_000, 1_000, 0) and gate.may_fire(2_000 + STALL_THRESHOLD, 2_000, 9)


def test_overdue_timers_wait_until_nothing_more_is_read() -> None:
    gate = TimerGate()
    assert [gate.may_fire(9_000, 1_000, inputs) for inputs in (5, 8, 9, 9)] == [False, False, False, True]
    assert gate.may_fire(9_001, 9_001, 9)


def test_endless_input_defers_timers_for_a_bounded_number_of_iterations() -> None:
    gate = TimerGate()
    fired = [gate.may_fire(9_000, 1_000, inputs) for inputs in range(MAX_DEFERRED_ITERATIONS + 2)]
    assert fired.index(True) == MAX_DEFERRED_ITERATIONS


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
