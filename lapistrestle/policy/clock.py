"""The time of the current event, shared by all components of one dispatcher."""


class Clock:
    """Time in ticks (`lapistrestle.ticks`). Only the host sets `now`, before each event."""

    __slots__ = ("now", "started")

    def __init__(self, now: int) -> None:
        self.now = now
        self.started = now  # start of this dispatcher; tells how much history an estimate can have
