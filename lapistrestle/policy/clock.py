"""The moment of the event at hand, shared by all parts of one dispatcher."""


class Clock:
    """The host sets `now` before each event; nothing else changes it. Times are ticks (`policy.ticks`)."""

    __slots__ = ("now", "started")

    def __init__(self, now: int) -> None:
        self.now = now
        self.started = now  # when this dispatcher began, so that young estimates are known to be young
