"""What the control roles share: a process under measurement in virtual time, and settings of one dispatcher.

Nothing here is a role. The process under measurement runs the program's own classes; what stands around it
(clock, timers, transport) is made here and is never counted as its work.
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

SECOND = 10_000  # tenths of a millisecond, the program's unit of time
METHODS = 3
CUSTOMERS = 5
QUICK_SPAN = 2  # simulated seconds whose steps are counted


def deployment(dispatchers: int = 2, number: int = 0, zone: str = "") -> Deployment:
    """Settings of one dispatcher of that many, with three methods and five customers."""
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
    """The same, as the module reads them."""
    return to_settings(deployment(dispatchers, number))


class Traffic(Struct):
    """Messages and bytes of the process under measurement."""

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
    """Runs the work of the process under measurement, and counts its processor time or its steps."""

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
    """Virtual time in tenths of a millisecond, with calls that are due; those of one moment in order."""

    def __init__(self, now: int = 1_000 * SECOND) -> None:
        self.now, self.count = now, 0
        self.calls: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        self.count += 1
        heappush(self.calls, (max(when, self.now), self.count, call, args))

    def run(self, until: int) -> None:
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call, args = heappop(self.calls)
            call(*args)
        self.now = max(self.now, until)


class Timer:
    """A timer of the process under measurement; its calls are metered."""

    def __init__(self, call: Callable[[Any], None], argument: object) -> None:
        self.call, self.argument, self.stopped = call, argument, False

    def stop(self) -> None:
        self.stopped = True


class Ground:
    """What a `fleet.talk.Talk` needs of its program, on a virtual clock, with every timer metered."""

    def __init__(self, clock: Clock, meter: Meter) -> None:
        self.virtual, self.meter = clock, meter
        self.reactor: Any = self
        self.passed: list[str] = []

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> None: ...

    def clock(self) -> int:
        return self.virtual.now

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = Timer(call, arg)
        self.virtual.at(self.virtual.now + delay, self.fire, timer)
        return timer

    def fire(self, timer: Timer) -> None:
        if not timer.stopped:
            self.meter.run(timer.call, timer.argument)

    def input_received(self) -> None: ...

    def message_ignored(self, name: str, why: str) -> None:
        self.passed.append(f"{name}: {why}")

    def log(self, what: str, **figures: Any) -> None: ...
