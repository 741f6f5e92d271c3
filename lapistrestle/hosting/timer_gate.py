"""Defers overdue timers until the sockets were polled once more.

After a stall the reactor runs the timers that are due before it polls its sockets, so that an answer that is
ready in a socket would lose to its own timeout. Overdue timers are therefore deferred for one iteration of
the event loop, which polls the sockets. They are not deferred further, whatever that iteration read: input
may never end, and the time of an iteration is not bounded, but deadlines hold all the same.
"""

OVERDUE_THRESHOLD = 50  # ticks after its due time from which on a timer counts as overdue


class TimerGate:
    """Decides in each iteration of the event loop whether the timers that are due may fire."""

    def __init__(self) -> None:
        self.has_deferred = False  # the timers were deferred in the previous iteration

    def may_fire(self, now: int, due: int) -> bool:
        """Whether to fire the timers that are due at tick `now`; `due` is the tick of the earliest one."""
        is_overdue = now - due > OVERDUE_THRESHOLD
        self.has_deferred = is_overdue and not self.has_deferred
        return not self.has_deferred
