"""Shared by the control roles: the environment of a measured process in virtual time, and its settings.

The measured process runs production classes; its environment (clock, timers, transport) is simulated here and
is never counted as its work.
"""

import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from msgspec import Struct

from benchmarks.scale.measuring import count_steps
from lapistrestle.deployment.load import to_settings
from lapistrestle.deployment.schema import (
    Customer,
    Deployment,
    DispatcherIdentity,
    Duration,
    Method,
    Preloads,
    Workers,
)
from lapistrestle.policy.settings import Settings

SECOND = 10_000  # ticks of 0.1 ms
METHODS = 3
CUSTOMERS = 5
QUICK_SPAN = 2  # simulated seconds, where steps are counted


def deployment(dispatchers: int = 2, number: int = 0, zone: str = "") -> Deployment:
    """Deployment settings of one dispatcher of this many, with three methods and five customers."""
    method = Method(effect="idempotent", deadline=Duration(3 * SECOND), soft_deadline=Duration(SECOND))
    return Deployment(
        methods={f"method-{i}": method for i in range(METHODS)},
        dispatcher=DispatcherIdentity(
            name=f"dispatcher-{number:05d}", number=number, of=dispatchers, zone=zone
        ),
        customers={f"customer-{i}": Customer(quota=1_000.0) for i in range(CUSTOMERS)},
        workers=Workers(
            cold_share=0.2,
            ramp=Duration(10 * SECOND),
            fall_multiple=2.0,
            fall_time=Duration(2 * SECOND),
            absent="miss",
        ),
        orders=Preloads(allowed=True, window=Duration(5 * SECOND), free=2.0, share=0.2),
    )


def module_settings(dispatchers: int = 2, number: int = 0) -> Settings:
    """The same as settings of the decision module."""
    return to_settings(deployment(dispatchers, number))


class Traffic(Struct):
    """Messages and bytes of the measured process."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def received(self, data: bytes) -> None:
        self.messages_in += 1
        self.bytes_in += len(data)

    def sent(self, data: bytes) -> None:
        self.messages_out += 1
        self.bytes_out += len(data)


class Meter:
    """Runs the work of the measured process, and counts its processor time or its steps."""

    def __init__(self, steps: bool = False) -> None:
        self.counts_steps, self.seconds, self.steps = steps, 0.0, 0

    def run(self, work: Callable[..., Any], *args: Any) -> None:
        if self.counts_steps:
            self.steps += count_steps(lambda: work(*args)).instructions
            return
        began = time.process_time()
        work(*args)
        self.seconds += time.process_time() - began


class Clock:
    """A virtual clock in ticks of 0.1 ms with scheduled calls; those due at the same tick run in order."""

    def __init__(self, now: int = 1_000 * SECOND) -> None:
        self.now, self.event_count = now, 0
        self.calls: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        self.event_count += 1
        heappush(self.calls, (max(when, self.now), self.event_count, call, args))

    def run(self, until: int) -> None:
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call, args = heappop(self.calls)
            call(*args)
        self.now = max(self.now, until)


class Timer:
    """A timer of the measured process; its calls are metered."""

    def __init__(self, call: Callable[[Any], None], argument: object) -> None:
        self.call, self.argument, self.stopped = call, argument, False

    def stop(self) -> None:
        self.stopped = True


class GossipRuntime:
    """Implements `fleet.gossip_endpoint.Runtime` on a virtual clock, with every timer metered."""

    def __init__(self, clock: Clock, meter: Meter) -> None:
        self.virtual, self.meter = clock, meter
        self.reactor: Any = self
        self.ignored: list[str] = []

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> None: ...

    def clock(self) -> int:
        return self.virtual.now

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = Timer(call, arg)
        self.virtual.at(self.virtual.now + delay, self.run_timer, timer)
        return timer

    def run_timer(self, timer: Timer) -> None:
        if not timer.stopped:
            self.meter.run(timer.call, timer.argument)

    def message_ignored(self, name: str, why: str) -> None:
        self.ignored.append(f"{name}: {why}")

    def log(self, what: str, **figures: Any) -> None: ...
