"""What one dispatcher does for control while instances that it never calls come, drain and go: counts alone.

The deterministic part of the scale tests, the same in every run: instructions, messages and bytes, with the
whole list and with the directory.
"""

from collections.abc import Callable

from msgspec import Struct

from benchmarks.scale import hollow, measuring
from benchmarks.scale.directory_edge import DirectoryDispatcher
from benchmarks.scale.directory_fleet import Region

CALLED = 5  # functions that the dispatcher calls
PREFIX = 4
CHANGES = 3  # of instances that it never calls
DISPATCHERS = 24
ONE_WAY = 500  # microseconds
SETTLED = 1.0  # seconds
HELD = 0.2  # seconds with what holders say unread; under the silence after which one is left

Planted = Callable[[list[str]], object]  # work that a test plants, over the names of all instances


class Work(Struct, frozen=True):
    """What was counted."""

    instructions: int
    messages: int
    bytes: int


def nothing(names: list[str]) -> None:
    """Plant nothing."""


def with_list(instances: int, planted: Planted = nothing) -> Work:
    """A first call of a function, and changes of instances, with the whole list."""
    made = hollow.HollowDispatcher(hollow.entries(instances), 1, DISPATCHERS)
    made.learn_all()
    for number in range(CALLED):
        made.call(f"function-{number}")
    made.run(SETTLED)
    roster = made.roster
    before = (roster.traffic.messages_in, roster.traffic.bytes_in)
    names = [entry.name for entry in roster.entries]

    def act() -> None:
        planted(names)
        made.call("function-new")
        for number in range(CHANGES):
            roster.tell(hollow.entry(instances + number))

    steps = measuring.count_steps(act)
    messages, size = roster.traffic.messages_in - before[0], roster.traffic.bytes_in - before[1]
    return Work(steps.instructions, messages, size)


def with_directory(instances: int, planted: Planted = nothing, called: int = CALLED) -> Work:
    """The same with the directory, and renewals meanwhile; `called`: functions in view."""
    region = Region(hollow.entries(instances), 1, 1, 1, ONE_WAY, timed=False)
    made = DirectoryDispatcher(region, 1, DISPATCHERS, first_count=PREFIX)
    for number in range(called):
        made.call(f"function-{number}")
    region.run(SETTLED)
    strangers = [entry for entry in region.whole() if entry.name not in made.edge.known_workers.known]
    names, traffic = list(region.listed), made.directory
    before = (traffic.messages_in + traffic.messages_out, traffic.bytes_in + traffic.bytes_out)

    def ask() -> None:
        planted(names)
        made.call("function-new")

    with made.holding() as held:
        asked = measuring.count_steps(ask)
        for entry in strangers[:CHANGES]:
            region.change(hollow.drained(entry))
        region.run(HELD)
    answered = measuring.count_steps(lambda: made.take_in(held))
    messages = traffic.messages_in + traffic.messages_out - before[0]
    size = traffic.bytes_in + traffic.bytes_out - before[1]
    return Work(asked.instructions + answered.instructions, messages, size)
