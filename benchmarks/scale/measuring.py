"""The three yardsticks: bytes of state, processor time, and steps that no clock has a part in."""

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from types import BuiltinFunctionType, CodeType, FrameType, FunctionType, ModuleType
from typing import Any, TypeVar

from msgspec import Struct

Built = TypeVar("Built")
REPEATS = 7


class Seconds(Struct, frozen=True):
    """Processor time of one run of an action, over the repeats."""

    median: float
    low: float
    high: float


class Steps(Struct, frozen=True):
    """What an action did, counted: bytecode instructions, and the most bytes it held beside the state.

    Work inside one call of a built-in (a sort, a copy of a list) is a single instruction; what such a call
    copies shows in `peak_bytes`.
    """

    instructions: int
    peak_bytes: int


def build_measured(build: Callable[[], Built]) -> tuple[Built, int]:
    """What `build` returns, and the bytes that it still holds, by tracemalloc (Python's own allocator)."""
    gc.collect()
    tracemalloc.start(1)
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    return built, held


def deep_size(root: object, skip: tuple[type, ...] = ()) -> int:
    """Bytes of an object and of all that it refers to, by `sys.getsizeof` with the collector's headers; what
    is of a type in `skip`, and types, modules and functions, are left out with what they lead to.
    """
    left_out = (*skip, type, ModuleType, FunctionType, BuiltinFunctionType, CodeType)
    seen, total, waiting = {id(root)}, 0, [root]
    while waiting:
        found = waiting.pop()
        total += sys.getsizeof(found)
        inner = struct_fields(found) if isinstance(found, Struct) else gc.get_referents(found)
        for one in inner:
            if id(one) not in seen and not isinstance(one, left_out):
                seen.add(id(one))
                waiting.append(one)
    return total


def struct_fields(struct: Struct) -> list[Any]:
    """Structs outside the collector do not tell what they refer to."""
    return [getattr(struct, name) for name in struct.__struct_fields__]


def processor_seconds(action: Callable[[], object], repeats: int = REPEATS) -> Seconds:
    """Processor time of this process, by `time.process_time`, with the cyclic collector off meanwhile."""
    taken = []
    gc.collect()
    was_on = gc.isenabled()
    gc.disable()
    try:
        for _ in range(repeats):
            began = time.process_time()
            action()
            taken.append(time.process_time() - began)
    finally:
        if was_on:
            gc.enable()
    return Seconds(statistics.median(taken), min(taken), max(taken))


def count_steps(action: Callable[[], object]) -> Steps:
    """Run the action once under a trace that counts the bytecode instructions of every Python function.

    The cyclic collector is off meanwhile: what it ends may run code of anything that was left before.
    """
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Callable[..., Any]:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before, was_on = sys.gettrace(), gc.isenabled()
    gc.collect()
    gc.disable()
    tracemalloc.start(1)
    try:
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        sys.settrace(trace)
        try:
            action()
        finally:
            sys.settrace(before)
        peak = tracemalloc.get_traced_memory()[1] - held
    finally:
        tracemalloc.stop()
        if was_on:
            gc.enable()
    return Steps(count, peak)
