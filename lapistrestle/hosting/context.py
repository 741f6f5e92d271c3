"""State shared by the components of a host."""

from collections.abc import Callable
from dataclasses import dataclass

from lapistrestle.hosting.timers import Timers
from lapistrestle.hosting.transport import Transport
from lapistrestle.policy.settings import Settings


@dataclass(frozen=True)
class HostContext:
    """Shared state of one host. `clock` returns ticks; `counts` are the counters of the final log line, by
    name.
    """

    transport: Transport
    settings: Settings
    clock: Callable[[], int]
    timers: Timers
    counts: dict[str, int]
