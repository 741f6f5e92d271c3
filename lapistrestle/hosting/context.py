"""What the parts of a host share."""

from collections.abc import Callable
from dataclasses import dataclass

from lapistrestle.hosting.timers import Timers
from lapistrestle.hosting.transport import Transport
from lapistrestle.policy.interface import Facts


@dataclass(frozen=True)
class HostContext:
    """One host's surroundings. `facts` are the module's settings, which the host may change at run time;
    `clock` gives tenths of a millisecond; `counts` are the counters of the log line at the end.
    """

    transport: Transport
    facts: Facts
    clock: Callable[[], int]
    timers: Timers
    counts: dict[str, int]
