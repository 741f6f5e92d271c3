"""Simulated time over simpy, under the names by which the edge and the stand-ins know a reactor.

Time is whole microseconds, so sums of delays are exact and the same on any machine; what is due together
happens in the order in which it was set.
"""

from collections.abc import Callable
from typing import Any

import simpy
from simpy.events import NORMAL, Event

START = 1_000_000_000  # microseconds: edges and runners were not born with time itself


class Due(Event):
    """A call that is due; it may be cancelled, and then nothing happens at its time."""

    def __init__(self, env: simpy.Environment, delay: int, call: Callable[..., Any], args: Any) -> None:
        self.env, self.callbacks = env, [self.fire]
        self._ok, self._value = True, None
        self.call, self.args, self.done = call, args, False
        env.schedule(self, NORMAL, delay)

    def fire(self, _: Event) -> None:
        if not self.done:
            self.done = True
            self.call(*self.args)

    def active(self) -> bool:
        return not self.done

    def cancel(self) -> None:
        self.done, self.args = True, ()


class Port:
    """What listens in the model: a number by which it is found."""

    def __init__(self, number: int) -> None:
        self.port = number

    def getHost(self) -> "Port":
        return self

    def stopListening(self) -> None: ...


class Clock:
    """A reactor without sockets."""

    def __init__(self) -> None:
        self.env = simpy.Environment(START)
        self.last_port = 0

    def seconds(self) -> float:
        return float(self.env.now) / 1e6

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Due:
        return Due(self.env, max(0, -int(-delay * 1e6 // 1)), call, args)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:
        self.last_port += not port
        return Port(port or self.last_port)

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> None:
        """Edges of the model tell each other without datagrams."""

    def run(self, seconds: float) -> None:
        """Play everything that is due within so many seconds from now."""
        self.env.run(self.env.now + round(seconds * 1e6))
