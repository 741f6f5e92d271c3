"""Work of one dispatcher for control while instances that it never calls start, drain and end.

The deterministic part of the scale tests: instructions, messages and bytes, which are the same in every run,
with the full endpoint list and with the directory.
"""

from collections.abc import Callable

from msgspec import Struct

from benchmarks.scale import hollow, measuring
from benchmarks.scale.directory_edge import DirectoryDispatcher
from benchmarks.scale.directory_fleet import Region

CALLED_FUNCTIONS = 5
PREFIX_LENGTH = 4
CHANGES = 3  # of uncalled instances
DISPATCHERS = 24
ONE_WAY_MICROSECONDS = 500
SETTLE_SECONDS = 1.0
HOLD_SECONDS = 0.2  # holders' messages wait unread; below the silence timeout of a watcher

InjectedWork = Callable[
    [list[str]], object
]  # extra work that a test injects, over the names of all instances


class Work(Struct, frozen=True):
    """Counted work."""

    instructions: int
    messages: int
    bytes: int


def no_work(names: list[str]) -> None:
    """The default: injects nothing."""


def with_list(instances: int, injected: InjectedWork = no_work) -> Work:
    """Counts a first call of a function and changes of instances, with the full list."""
    dispatcher = hollow.HollowDispatcher(hollow.entries(instances), 1, DISPATCHERS)
    dispatcher.load_full_list()
    for number in range(CALLED_FUNCTIONS):
        dispatcher.call(f"function-{number}")
    dispatcher.run(SETTLE_SECONDS)
    roster = dispatcher.roster
    before = (roster.traffic.messages_in, roster.traffic.bytes_in)
    names = [entry.name for entry in roster.entries]

    def call_and_change() -> None:
        injected(names)
        dispatcher.call("function-new")
        for number in range(CHANGES):
            roster.send_update(hollow.entry(instances + number))

    steps = measuring.count_steps(call_and_change)
    messages, size = roster.traffic.messages_in - before[0], roster.traffic.bytes_in - before[1]
    return Work(steps.instructions, messages, size)


def with_directory(instances: int, injected: InjectedWork = no_work, called: int = CALLED_FUNCTIONS) -> Work:
    """Counts the same with the directory, and the renewals meanwhile; `called`: functions in use before."""
    region = Region(hollow.entries(instances), 1, 1, 1, ONE_WAY_MICROSECONDS, timed=False)
    dispatcher = DirectoryDispatcher(region, 1, DISPATCHERS, first_count=PREFIX_LENGTH)
    for number in range(called):
        dispatcher.call(f"function-{number}")
    region.run(SETTLE_SECONDS)
    uncalled = [entry for entry in region.snapshot() if entry.name not in dispatcher.edge.known_workers.known]
    names, traffic = list(region.listed), dispatcher.directory
    before = (traffic.messages_in + traffic.messages_out, traffic.bytes_in + traffic.bytes_out)

    def call_new_function() -> None:
        injected(names)
        dispatcher.call("function-new")

    with dispatcher.hold_lines() as held:
        call_steps = measuring.count_steps(call_new_function)
        for entry in uncalled[:CHANGES]:
            region.change(hollow.drained(entry))
        region.run(HOLD_SECONDS)
    reply_steps = measuring.count_steps(lambda: dispatcher.deliver_held(held))
    messages = traffic.messages_in + traffic.messages_out - before[0]
    size = traffic.bytes_in + traffic.bytes_out - before[1]
    return Work(call_steps.instructions + reply_steps.instructions, messages, size)
