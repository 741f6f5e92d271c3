"""What the parts of a host share."""

from collections.abc import Callable
from dataclasses import dataclass

from lapistrestle.hosting.timers import Timers
from lapistrestle.hosting.transport import Transport
from lapistrestle.policy.settings import Settings


@dataclass(frozen=True)
class HostContext:
    """One host's surroundings. `settings` are the module's;
    `clock` gives tenths of a millisecond; `counts` are the counters of the log line at the end."""

    transport: Transport
    settings: Settings
    clock: Callable[[], int]
    timers: Timers
    counts: dict[str, int]
