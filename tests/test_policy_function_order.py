"""The shared order of a function, and where each dispatcher enters it."""

from collections import Counter
from itertools import pairwise
from zlib import crc32

import pytest
from helpers import change, dispatcher

from lapistrestle.policy.entities import Function, Worker
from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.types import (
    WorkerInfo,
)


def test_the_order_is_the_same_everywhere_and_moves_little() -> None:
    a, b = dispatcher(8), dispatcher(8)
    functions = [Function(f"f{i}") for i in range(200)]
    homes = [a.orders.function_order(function)[0].name for function in functions]
    b.on_endpoints([(Worker("new"), WorkerInfo("new"))], snapshot=False)
    moved = [b.orders.function_order(Function(function.name))[0].name for function in functions]
    changed = [(old, new) for old, new in zip(homes, moved, strict=True) if old != new]
    assert 0 < len(changed) < 50 and {new for _, new in changed} == {"new"}


@pytest.mark.parametrize(("front_ends", "runs"), [(2, True), (9, False)])
def test_where_front_ends_outnumber_workers_neighbours_do_not_follow_each_other(
    front_ends: int, runs: bool
) -> None:
    made = dispatcher(8)
    change(made, dispatcher_count=front_ends)
    pairs = set(pairwise(made.endpoints.ring + made.endpoints.ring[:1]))
    orders = [made.orders.function_order(Function(f"f{i}")) for i in range(100)]
    assert all(set(order) == set(made.endpoints.ring) for order in orders)
    along = sum((order[0], order[1]) in pairs for order in orders)
    assert along == 100 if runs else along < 40
    assert [made.orders.function_order(Function(f"f{i}"))[0] for i in range(100)] == [
        order[0] for order in orders
    ]


def test_names_that_differ_little_have_homes_spread_evenly_over_the_workers() -> None:
    """Drawn by a linear checksum, one worker in forty was home of 13 times as many functions as another."""
    made = dispatcher(0)
    facts = [WorkerInfo(f"s-{crc32(str(i).encode()):08x}") for i in range(40)]
    made.on_endpoints([(Worker(f.name), f) for f in facts], snapshot=True)
    functions = [Function(f"000000{i:08x}01") for i in range(2_000)]
    homes = Counter(made.orders.function_order(function)[0] for function in functions)
    assert min(homes[worker] for worker in made.endpoints.workers) >= 25 and max(homes.values()) <= 80


def test_front_ends_share_out_a_hot_function_and_leave_a_seldom_one_at_home() -> None:
    hot, seldom, homes = Function("hot"), Function("seldom"), set()
    for me in range(40):
        made = dispatcher(20)
        change(made, instance_index=me, dispatcher_count=40)
        for function, share in ((hot, 0.2), (seldom, 0.01)):
            function.order_version, function.demand = -1, DecayingSum(100_000)
            function.demand.add(made.now, share * 500_000 + made.latency.typical(0))
        made.orders.demand.add(made.now, 500_000)
        homes.add(made.orders.order_from_own_offset(hot)[0].name)
        assert made.orders.order_from_own_offset(seldom)[0] is made.orders.function_order(seldom)[0]
    assert 10 <= len(homes) <= 12
