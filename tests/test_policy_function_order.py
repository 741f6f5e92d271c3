"""The shared worker order of a function, and where each dispatcher starts in it."""

from collections import Counter
from itertools import pairwise
from zlib import crc32

import pytest
from helpers import change_settings, dispatcher

from lapistrestle.policy.entities import Function, Worker
from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.types import (
    WorkerInfo,
)


def test_orders_are_equal_everywhere_and_a_new_worker_moves_few_homes() -> None:
    a, b = dispatcher(8), dispatcher(8)
    functions = [Function(f"f{i}") for i in range(200)]
    homes = [a.orders.function_order(function)[0].name for function in functions]
    b.on_endpoints([(Worker("new"), WorkerInfo("new"))], snapshot=False)
    moved = [b.orders.function_order(Function(function.name))[0].name for function in functions]
    changed = [(old, new) for old, new in zip(homes, moved, strict=True) if old != new]
    assert 0 < len(changed) < 50 and {new for _, new in changed} == {"new"}


@pytest.mark.parametrize(("dispatchers", "follows_ring"), [(2, True), (9, False)])
def test_with_more_dispatchers_than_workers_orders_do_not_follow_the_ring(
    dispatchers: int, follows_ring: bool
) -> None:
    module = dispatcher(8)
    change_settings(module, dispatcher_count=dispatchers)
    pairs = set(pairwise(module.endpoints.ring + module.endpoints.ring[:1]))
    orders = [module.orders.function_order(Function(f"f{i}")) for i in range(100)]
    assert all(set(order) == set(module.endpoints.ring) for order in orders)
    along_ring = sum((order[0], order[1]) in pairs for order in orders)
    assert along_ring == 100 if follows_ring else along_ring < 40
    assert [module.orders.function_order(Function(f"f{i}"))[0] for i in range(100)] == [
        order[0] for order in orders
    ]


def test_homes_of_similar_names_are_spread_evenly_over_the_workers() -> None:
    """With scores from a linear checksum, one of 40 workers was the home of 13 times as many functions as
    another.
    """
    module = dispatcher(0)
    infos = [WorkerInfo(f"s-{crc32(str(i).encode()):08x}") for i in range(40)]
    module.on_endpoints([(Worker(f.name), f) for f in infos], snapshot=True)
    functions = [Function(f"000000{i:08x}01") for i in range(2_000)]
    homes = Counter(module.orders.function_order(function)[0] for function in functions)
    assert min(homes[worker] for worker in module.endpoints.workers) >= 25 and max(homes.values()) <= 80


def test_dispatchers_spread_a_hot_function_and_keep_a_rare_one_at_home() -> None:
    hot, rare, homes = Function("hot"), Function("seldom"), set()
    for index in range(40):
        module = dispatcher(20)
        change_settings(module, instance_index=index, dispatcher_count=40)
        for function, share in ((hot, 0.2), (rare, 0.01)):
            function.order_version, function.demand = -1, DecayingSum(100_000)
            function.demand.add(module.now, share * 500_000 + module.latency.typical(0))
        module.orders.demand.add(module.now, 500_000)
        homes.add(module.orders.order_from_own_offset(hot)[0].name)
        assert module.orders.order_from_own_offset(rare)[0] is module.orders.function_order(rare)[0]
    assert 10 <= len(homes) <= 12
