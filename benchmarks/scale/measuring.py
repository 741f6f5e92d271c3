"""The three kinds of measurement: bytes of state, processor time, and deterministic counts of steps."""

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
    """Counts of an action: bytecode instructions, and the peak of the bytes it allocated.

    Work inside one call of a built-in (a sort, a copy of a list) counts as a single instruction; the memory
    that such a call copies shows in `peak_bytes`.
    """

    instructions: int
    peak_bytes: int


def build_measured(build: Callable[[], Built]) -> tuple[Built, int]:
    """Returns the result of `build` and the bytes it holds, by tracemalloc (Python's allocator only)."""
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
    """Bytes of an object and of all that it refers to, by `sys.getsizeof` with the collector's headers.

    Objects of a type in `skip`, types, modules and functions are excluded, with what only they refer to.
    """
    excluded = (*skip, type, ModuleType, FunctionType, BuiltinFunctionType, CodeType)
    seen, total, pending = {id(root)}, 0, [root]
    while pending:
        found = pending.pop()
        total += sys.getsizeof(found)
        children = struct_fields(found) if isinstance(found, Struct) else gc.get_referents(found)
        for child in children:
            if id(child) not in seen and not isinstance(child, excluded):
                seen.add(id(child))
                pending.append(child)
    return total


def struct_fields(struct: Struct) -> list[Any]:
    """The field values of a struct: `gc.get_referents` misses those of structs that the GC does not track."""
    return [getattr(struct, name) for name in struct.__struct_fields__]


def processor_seconds(action: Callable[[], object], repeats: int = REPEATS) -> Seconds:
    """Processor time of an action, by `time.process_time`, with the cyclic garbage collector disabled."""
    seconds = []
    gc.collect()
    was_on = gc.isenabled()
    gc.disable()
    try:
        for _ in range(repeats):
            started_at = time.process_time()
            action()
            seconds.append(time.process_time() - started_at)
    finally:
        if was_on:
            gc.enable()
    return Seconds(statistics.median(seconds), min(seconds), max(seconds))


def count_steps(action: Callable[[], object]) -> Steps:
    """Runs the action once under a trace that counts the bytecode instructions of every Python function.

    The cyclic garbage collector is disabled: it could run finalizers of unrelated earlier objects.
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
