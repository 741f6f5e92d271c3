"""The decision module, without any bench."""

from collections import Counter
from dataclasses import replace
from itertools import pairwise
from math import inf
from zlib import crc32

import pytest
from helpers import Recorder, dispatcher, request

from lapistrestle.policy.dispatcher import SECOND
from lapistrestle.policy.interface import Answer, Attempt, EndpointState, LoadState, Outcome, WorkerInfo
from lapistrestle.policy.settings import CustomerSettings
from lapistrestle.policy.state import DecayingSum, Function, Input, Order, State, Worker, Zone


def acts(made, word):
    host = made.host
    assert isinstance(host, Recorder)
    return host.of(word)


def test_the_order_is_the_same_everywhere_and_moves_little():
    a, b = dispatcher(8), dispatcher(8)
    functions = [Function(f"f{i}") for i in range(200)]
    homes = [a.walk(function)[0].name for function in functions]
    b.on_endpoints([(Worker("new"), WorkerInfo("new"))], whole=False)
    moved = [b.walk(Function(function.name))[0].name for function in functions]
    changed = [(old, new) for old, new in zip(homes, moved, strict=True) if old != new]
    assert 0 < len(changed) < 50 and {new for _, new in changed} == {"new"}


@pytest.mark.parametrize(("front_ends", "runs"), [(2, True), (9, False)])
def test_where_front_ends_outnumber_workers_neighbours_do_not_follow_each_other(front_ends, runs):
    made = dispatcher(8)
    made.settings = replace(made.settings, dispatcher_count=front_ends)
    pairs = set(pairwise(made.ring + made.ring[:1]))
    orders = [made.walk(Function(f"f{i}")) for i in range(100)]
    assert all(set(order) == set(made.ring) for order in orders)
    along = sum((order[0], order[1]) in pairs for order in orders)
    assert along == 100 if runs else along < 40
    assert [made.walk(Function(f"f{i}"))[0] for i in range(100)] == [order[0] for order in orders]


@pytest.mark.parametrize(
    ("method", "outcome", "word"),
    [(2, Outcome.ERROR, "abort"), (2, Outcome.REJECTED, "send_attempt"), (0, Outcome.ERROR, "send_attempt")],
)
def test_what_may_have_run_goes_out_again_only_where_the_method_allows(method, outcome, word):
    made = dispatcher()
    one = request(made, method)
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], outcome, Answer(5))
    assert made.host.acts[-1][0] == word and one.over == (word == "abort")


def test_a_tokened_repeat_stays_in_its_cell_and_window():
    made = dispatcher(6)
    one = request(made, 1)
    made.on_request(one)
    one.ran_on, one.ran_at = one.attempts[0].worker, made.now
    assert {s.cell for s in made.workers if made.allowed(one, s)} == {one.ran_on.cell}
    made.now += 20_000
    assert not any(made.allowed(one, s) for s in made.workers)


def test_nothing_goes_to_a_draining_worker_nor_is_ordered_there():
    made = dispatcher(1)
    one, worker = request(made), made.workers[0]
    made.on_endpoints([(worker, WorkerInfo(worker.name, listing=EndpointState.DRAINING))], whole=False)
    made.on_request(one)
    assert one.state is State.OVER and acts(made, "reject") and not acts(made, "send_attempt")
    assert not made.order(one.function.replica(worker), 1) and not acts(made, "preload")


def test_names_that_differ_little_have_homes_spread_evenly_over_the_workers():
    """Drawn by a linear checksum, one worker in forty was home of 13 times as many functions as another."""
    made = dispatcher(0)
    facts = [WorkerInfo(f"s-{crc32(str(i).encode()):08x}") for i in range(40)]
    made.on_endpoints([(Worker(f.name), f) for f in facts], whole=True)
    functions = [Function(f"000000{i:08x}01") for i in range(2_000)]
    homes = Counter(made.walk(function)[0] for function in functions)
    assert min(homes[worker] for worker in made.workers) >= 25 and max(homes.values()) <= 80


def test_orders_stay_within_their_budget():
    made = dispatcher(1)
    made.taken.extend([made.now] * 10)
    replica = Function("f").replica(made.workers[0])
    assert [made.order(replica, 1) for _ in range(5)] == [True] * 4 + [False]
    made.now += 50_001
    assert not made.order(replica, 1)  # without answer they may be about to cross
    for _ in range(4):
        made.on_preload_finished(made.workers[0], replica.function, Outcome.OK, 1, 10)
    assert [made.order(replica, 1) for _ in range(3)] == [True, True, False]


def test_an_order_that_was_long_on_the_way_counts_from_when_it_may_have_crossed():
    """A link that was cut for seconds let all that lay on it through at once (split days)."""
    made = dispatcher(1, **{"free-loads": 5})
    function, worker = Function("f"), made.workers[0]
    for took in (6_000, 6_000, 40_000):
        assert made.order(function.replica(worker), 1)
        made.now += took
        made.on_preload_finished(worker, function, Outcome.OK, 1, took)
    made.now += 20_000  # the first two have left the window, the last crossed 3.2 s ago at the earliest
    made.order(function.replica(worker), 1)
    assert made.orders == [made.now - 32_000]


def test_an_rpc_that_was_read_late_leaves_the_ration_when_it_does_at_the_socket():
    """A dispatcher that stood still for a second counted what lay in its sockets a second too long."""
    made = dispatcher(1)
    for late in (9_000, 0):
        read = request(made)
        read.came = made.now - late
        made.on_request(read)
    made.now += 45_000
    made.order(Function("g").replica(made.workers[0]), 1)
    assert list(made.taken) == [50_000]
    made.settings = replace(made.settings, preload_delay=300)
    made.now += 4_800  # by the time that an order crosses the other has left too
    made.order(Function("g").replica(made.workers[0]), 1)
    assert not made.taken


@pytest.mark.parametrize("window", [0, 50_000])
def test_what_is_remembered_for_the_budget_of_orders_does_not_grow_without_end(window):
    made = dispatcher(1)
    made.settings = replace(made.settings, preload_window=window, may_preload=False)
    for _ in range(50):
        made.now += 5_000
        made.on_request(request(made))
    assert len(made.taken) == window // 5_000


def test_an_rpc_that_is_placed_anew_under_another_version_counts_once():
    made = dispatcher(2)
    made.on_request(request(made))
    again = request(made, name="f@v2")
    again.moved = True
    made.on_request(again)
    assert len(made.taken) == 1 and again.attempts


@pytest.mark.parametrize("front_ends", [1, 3, 200])
def test_a_cold_worker_gets_its_part_from_all_together_and_no_more(front_ends):
    sent = budget = 0
    for me in range(front_ends):
        made = dispatcher(2)
        made.settings = replace(made.settings, instance_index=me, dispatcher_count=front_ends)
        cold, warm = made.workers
        cold.booted = made.now
        made.ok_weight.add(made.now, 400_000.0 / 1.2 / front_ends)
        budget += made.rate(made.ok_weight) * 0.7 * 2.0 * 0.2 * 20_000 / made.weight(0)
        while made.cold_room(cold, request(made)):
            cold.sends.append((made.now, made.weight(0)))
            sent += 1
        assert made.cold_room(warm, request(made))
    assert budget - 1 <= sent <= budget + 1.5


def test_zones_follow_the_window_and_come_back_as_warning():
    made = dispatcher(1)
    replica = Function("f", iso=1_000.0).replica(made.workers[0])
    replica.window.extend([int(made.bound(replica.function)) * 2] * 10)
    made.judge_zone(replica)
    assert made.zone(replica) is Zone.UNSAFE and made.capacity(replica) == 0
    made.now += 2 * SECOND
    assert made.zone(replica) is Zone.WARNING and not replica.window


def test_a_failing_worker_is_suspect_and_tried_again_by_a_trickle():
    made = dispatcher(3)
    bad = made.workers[0]
    for worker in made.workers[1:] * 10:
        made.judge_health(worker, False, made.now)
    for _ in range(3):
        made.judge_health(bad, True, made.now)
    assert bad.suspect and not made.fit(bad)
    made.now += SECOND
    assert made.fit(bad)
    made.judge_health(bad, False, made.now)
    assert not bad.suspect and made.suspects == 0


def test_a_fleet_that_ramps_together_does_not_inflate_the_cold_budget():
    made = dispatcher(4)
    made.ok_weight.add(made.now, 40_000.0 / 1.6)
    for worker in made.workers[:3]:
        worker.booted = made.now
        worker.sends.append((made.now, 10_000.0))
    assert not made.cold_room(made.workers[0], request(made))


def test_a_function_heavier_than_its_method_fills_a_cold_worker_sooner():
    """A version five times slower than the others of its method pushed cold workers over."""
    made = dispatcher(2)
    light, heavy = request(made), request(made, name="heavy")
    assert made.heft(heavy) == made.heft(light) == made.weight(0)
    heavy.function.replica(made.workers[0]).window.extend([20_000, 24_000])
    assert made.heft(heavy) == 22_000
    heavy.function.iso, heavy.scale = 15_000.0, 2.0
    assert made.heft(heavy) == 30_000 and made.heft(light) == made.weight(0)
    made.ok_weight.add(made.now, 100_000.0)
    made.workers[0].booted = made.now
    sent = {}
    for one in (light, heavy):
        made.workers[0].sends.clear()
        while made.cold_room(made.workers[0], one):
            made.workers[0].sends.append((made.now, made.heft(one)))
        sent[one.function.name] = len(made.workers[0].sends)
    assert 0 <= sent["heavy"] < sent["f"]


@pytest.mark.parametrize("left", [EndpointState.REMOVED, EndpointState.DRAINING])
def test_a_fleet_that_shrinks_at_once_does_not_inflate_the_cold_budget(left):
    """Four fifths went and one came back cold: it was sent what the five had taken, and fell over."""
    made = dispatcher(10)
    made.light[0].add(made.now, 2_000)

    def room() -> int:
        cold = made.workers[0]
        cold.booted, sent = made.now, 0
        cold.sends.clear()
        while made.cold_room(cold, request(made)):
            cold.sends.append((made.now, made.weight(0)))
            sent += 1
        return sent

    for _ in range(200):
        one = request(made)
        made.on_request(one)
        made.on_attempt_finished(one.attempts[0], Outcome.OK, Answer(2_000))
    before = room()
    stays = [(made.workers[0], WorkerInfo("w0", booted=made.now))]
    leaver = made.workers[5]
    made.on_endpoints(stays + [(s, WorkerInfo(s.name, listing=left)) for s in made.workers[1:]], whole=False)
    late = request(made)
    late.state = State.OUT
    late.attempts.append(Attempt(late, leaver, made.now))
    late.function.replica(leaver).begin(late.attempts[0])
    made.on_attempt_finished(late.attempts[0], Outcome.OK, Answer(2_000))
    assert 1 <= room() <= before


def test_what_cannot_come_back_in_time_is_denied_at_once():
    made = dispatcher(2)
    one = request(made)
    one.deadline = made.now + int(made.iso(one.function)) - 1
    made.on_request(one)
    assert one.over and acts(made, "reject") and not one.attempts


def test_the_last_resort_denies_what_would_wait_past_its_soft_deadline():
    made = dispatcher(1)
    worker, first = made.workers[0], request(made)
    replica = first.function.replica(worker)
    replica.copies, replica.seen = 1, made.now
    for _ in range(6):
        last = request(made)
        last.function = first.function
        made.on_request(last)
    assert last.over and not last.attempts and acts(made, "reject")


def test_slow_or_failing_loads_mean_fewer_at_once():
    made = dispatcher(4)
    before, function = made.load_limit, Function("f")
    made.judge_load(function, True, 30_000)
    slow = made.load_limit
    made.judge_load(function, True, 6_000)
    assert 1 <= slow < before and made.load_limit > slow


def test_a_load_does_not_make_a_worker_look_silent():
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.now += 10 * SECOND
    assert one.attempts[0].cold and made.fit(made.workers[0])


def test_own_rpcs_beyond_the_pace_of_a_worker_make_it_unsafe_before_any_answer():
    made = dispatcher(1)
    replica = Function("f").replica(made.workers[0])
    replica.copies, replica.seen = 9, made.now
    for _ in range(6):
        made.send(request(made), replica)
    assert made.zone(replica) is Zone.UNSAFE


def test_a_miss_is_answered_by_one_order_and_the_rpc_waits_for_it():
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(30))
    assert one.state is State.PARKED and acts(made, "preload")[0][3] == 1
    made.on_preload_finished(made.workers[0], one.function, Outcome.OK, 1, 6_000)
    assert one.state is State.OUT and len(one.attempts) == 2


def test_a_full_answer_closes_the_whole_worker_until_its_next_ok_answer():
    made = dispatcher(1, **{"when-absent": "load"})
    one, two = request(made), request(made, name="g")
    two.function.replica(made.workers[0]).copies, two.function.replicas[made.workers[0]].seen = 1, made.now
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, Answer(5))
    made.on_request(two)
    assert two.over and not two.attempts
    made.workers[0].full_until = 0
    three = request(made)
    three.function = two.function
    made.on_request(three)
    assert three.attempts


def test_rpcs_that_wait_for_a_load_go_on_when_the_copy_turns_out_to_stand():
    made = dispatcher(1)
    one, two = request(made), request(made)
    two.function = one.function
    made.on_request(one)
    made.on_request(two)
    assert two.state is State.PARKED
    made.on_attempt_finished(one.attempts[0], Outcome.OK, Answer(900, over=True))
    assert two.state is State.OUT


def test_a_queue_behind_a_cold_call_out_does_not_cut_the_load_limit():
    made = dispatcher(1, **{"when-absent": "load"})
    worker, before = made.workers[0], 5.0
    made.load_limit = before
    for crowded in (True, False):
        one = request(made)
        made.send(one, one.function.replica(worker))
        worker.took.add(made.now, 900_000 if crowded else -900_000)
        made.on_attempt_finished(one.attempts[0], Outcome.OK, Answer(29_000, over=True))
        assert (made.load_limit == before) == crowded


def test_a_parked_rpc_is_answered_when_its_time_is_up():
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(30))
    made.on_timer(one)
    assert one.over and acts(made, "reject")
    made.on_preload_finished(made.workers[0], one.function, Outcome.OK, 1, 6_000)
    assert len(one.attempts) == 1


@pytest.mark.parametrize(("tries", "further", "went_on"), [(1, 0, True), (3, 0, False), (1, 9, False)])
def test_further_call_outs_end_with_the_tries_and_with_failing_ones(tries, further, went_on):
    made = dispatcher(4, **{"when-absent": "load"})
    one = request(made)
    made.on_request(one)
    one.attempts[:0] = one.attempts * (tries - 1)
    for _ in range(further):
        made.further.add(made.now, 0)
    made.on_attempt_finished(one.attempts[-1], Outcome.REJECTED, Answer(5))
    assert one.over != went_on


def test_traffic_beyond_a_share_yields_first_under_pressure():
    made = dispatcher(2)
    made.settings = replace(made.settings, customers=(CustomerSettings(2.0), CustomerSettings(900.0)))
    made.asked, made.out = [DecayingSum(50_000), DecayingSum(50_000)], 40
    made.asked[0].add(made.now, 1e6)
    made.ok_count.add(made.now, 110.0)
    greedy, fair = request(made), request(made)
    fair.customer = 1
    assert made.soft(fair) / 2 < (40 - 1 - 2 * 40**0.5) / made.rate(made.ok_count) < made.soft(fair)
    assert made.admit(greedy, None) is Input.NOWHERE and made.admit(fair, None) is Input.ADMITTED


def test_four_rpcs_in_flight_at_a_quiet_front_end_are_no_pressure():
    """Seen with 96 front ends on a quiet day: two in flight over a pace of 3 RPCs/s were denied."""
    made = dispatcher(3)
    made.out = 4
    made.ok_count.add(made.now, 9.0)
    assert made.out / made.rate(made.ok_count) > made.soft(request(made))
    assert made.admit(request(made), None) is Input.ADMITTED and not made.pressed


def front_end_of_many(**info):
    made = dispatcher(6, **info)
    made.now, made.stretch = 500_000, 3.0
    return made


def test_after_a_miss_away_from_home_the_home_is_tried_and_nothing_is_loaded_for_it():
    made = front_end_of_many(**{"says-company": True})
    one = request(made)
    one.deadline = made.now + 30_000
    home, second = made.walk(one.function)[:2]
    one.state = State.PLACING
    made.send(one, one.function.replica(second))
    one.state = State.OUT
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(10))
    assert [c.worker for c in one.attempts] == [second, home] and not acts(made, "preload")
    made.on_attempt_finished(one.attempts[1], Outcome.NOT_LOADED, Answer(10))
    assert acts(made, "preload") and one.function.replica(home).waiters == [one]


def test_a_miss_at_the_first_that_may_be_used_does_not_go_on_along_the_order():
    made = front_end_of_many()
    one = request(made)
    first, second = made.walk(one.function)[:2]
    first.suspect, first.due, made.suspects = True, made.now + 9 * SECOND, 1  # the home is out of use
    one.attempts = [Attempt(one, second, made.now, outcome=Outcome.NOT_LOADED)]
    assert made.missed(one, one.function.replica(second)) is Input.WAITS and not acts(made, "send_attempt")
    assert [o[1] for o in acts(made, "preload")] == [second]


@pytest.mark.parametrize(("stretch", "within"), [(1.0, 6_667), (3.0, 10_000)])
def test_who_meets_workers_seldom_waits_to_the_soft_deadline(stretch, within):
    made = dispatcher()
    one, made.stretch = request(made), stretch
    one.began, replica = made.now, one.function.replica(made.workers[0])
    one.function.iso = 500.0
    assert abs(made.time_out(one, replica, False) - within) <= 1


@pytest.mark.parametrize(
    ("told", "made_lately", "word"),
    [(None, 20, "send_attempt"), (2.0, 20, "reject"), (2.0, 5, "send_attempt")],
)
def test_the_budget_of_the_fleet_bounds_further_call_outs_where_it_is_told(told, made_lately, word):
    made = dispatcher()
    made.fleet.retries_per_second = inf if told is None else told
    one = request(made)
    made.on_request(one)
    made.ok_count.add(made.now, 100)
    for _ in range(made_lately):
        made.further.add(made.now, 1)
    made.on_attempt_finished(one.attempts[0], Outcome.ERROR, Answer(5))
    assert made.host.acts[-1][0] == word


def test_a_miss_that_comes_when_no_worker_is_left_is_denied_at_once():
    made = dispatcher(1)
    one = request(made)
    made.on_request(one)
    made.on_endpoints([], whole=True)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(10))
    assert one.over and len(acts(made, "reject")) == 1 and not acts(made, "preload")


def test_a_miss_is_believed_no_longer_than_a_load_takes():
    made = front_end_of_many()
    replica = Function("f", load=10_000).replica(made.workers[0])
    replica.missing = made.now
    assert not made.presumed(replica)
    made.now += 20_001
    assert made.presumed(replica)
    replica.function.load = None
    assert not made.presumed(replica)


@pytest.mark.parametrize(("company", "took", "orders"), [(0, 9_000, 0), (1, 100, 0), (1, 9_000, 1)])
def test_where_answers_tell_that_others_wait_the_next_worker_loads(company, took, orders):
    made = front_end_of_many(**{"says-company": True, "tells-warm": True})
    made.load_limit = 5.0
    for _ in range(3):
        made.light[0].add(made.now, 1_000)
    one = request(made)
    made.on_request(one)
    home = one.attempts[0].worker
    made.on_attempt_finished(one.attempts[0], Outcome.OK, Answer(took, True, LoadState.LOADED, company))
    loads = acts(made, "preload")
    assert len(loads) == orders and all(
        o[1] is made.walk(one.function)[1] and home is not o[1] for o in loads
    )


def test_a_client_that_gives_up_before_the_wait_ends_is_denied_at_once():
    made = dispatcher(1)
    first, patient, one = request(made), request(made), request(made)
    replica = first.function.replica(made.workers[0])
    replica.copies, replica.seen = 1, made.now
    patient.function = one.function = first.function
    one.deadline = made.now + 3_000
    for each in (first, one, patient):
        made.on_request(each)
    assert one.over and len(acts(made, "reject")) == 1 and patient.attempts


def test_a_full_worker_is_open_again_after_half_a_second_however_seldom_it_is_met():
    made = front_end_of_many()
    one = request(made)
    made.on_request(one)
    worker = one.attempts[0].worker
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, Answer(5))
    assert made.now < worker.full_until <= made.now + SECOND // 2


def test_where_the_only_warm_worker_is_full_the_next_of_the_order_is_used():
    """Seen at surplus-main: denied with 30 of 50 workers open, as the one known warm was full."""
    made = front_end_of_many(**{"when-absent": "load"})
    one = request(made)
    home, second = made.walk(one.function)[:2]
    replica = one.function.replica(home)
    replica.copies, replica.seen, home.full_until = 1, made.now, made.now + 100
    one.deadline = made.now + 30_000
    made.on_request(one)
    assert [c.worker for c in one.attempts] == [second]


def test_many_own_loads_do_not_deny_where_a_miss_costs_little():
    made = front_end_of_many()
    one = request(made)
    one.deadline = made.now + 30_000
    for worker in made.workers:
        one.function.replica(worker).missing = made.now
    made.loading, made.load_limit = 18, 1.0
    made.on_request(one)
    assert not one.over and one.attempts


def test_an_rpc_that_a_load_cannot_reach_neither_orders_nor_waits():
    made = front_end_of_many(**{"says-company": True})
    one = request(made)
    one.function.load, one.deadline = 20_000, made.now + 5_000
    one.state = State.PLACING
    home = made.walk(one.function)[0]
    made.send(one, one.function.replica(home))
    one.state = State.OUT
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(10))
    assert not acts(made, "preload") and not one.function.replica(home).waiters


def test_a_hold_asks_for_what_was_used_and_a_share_of_the_spare():
    made = dispatcher(2)
    made.settings = replace(made.settings, dispatcher_count=1)
    made.taken.extend([made.now] * 50)
    function = Function("f")
    made.functions[function] = None
    home = function.replica(made.walk(function)[0])
    home.peak, home.copies, home.seen = 4, 4, made.now
    made.hold(function)
    assert acts(made, "preload") == [("preload", home.worker, function, 4 + 2)]
    made.hold(function)
    assert function in made.functions  # a copy still stands
    made.now += 2 * made.settings.idle_timeout
    home.ordered.clear()
    made.hold(function)
    assert function not in made.functions and not function.marks


def test_workers_that_left_are_let_go_once_nothing_is_out_there():
    made = dispatcher(2)
    stays, busy = made.workers
    one = request(made)
    made.functions[one.function] = None
    one.attempts.append(Attempt(one, busy, made.now))
    one.function.replica(busy).begin(one.attempts[0])
    made.on_endpoints([(busy, WorkerInfo("w1", listing=EndpointState.REMOVED))], whole=False)
    assert made.workers == [stays, busy]
    one.function.replica(busy).end(one.attempts[0])
    for i in range(2_000):
        new = Worker(f"n{i}")
        made.on_endpoints([(new, WorkerInfo(new.name))], whole=False)
        made.walk(one.function)
        one.function.replica(new)
        made.on_endpoints([(new, WorkerInfo(new.name, listing=EndpointState.REMOVED))], whole=False)
    assert made.workers == [stays] and len(one.function.marks) < 3 and len(one.function.replicas) < 3


@pytest.mark.parametrize(
    ("customers", "closed"), [((), False), ((CustomerSettings(2.0), CustomerSettings(9.0)), True)]
)
def test_a_late_full_answer_bars_a_customer_only_where_there_is_another(customers, closed):
    """Without customers it barred everything for two seconds, and three of six workers stood idle."""
    made = dispatcher(2)
    made.settings = replace(made.settings, customers=customers)
    one = request(made)
    home = made.walk(one.function)[0]
    one.state = State.OUT
    made.send(one, one.function.replica(home))
    made.now += 1_600
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, Answer(1_600))
    assert (home.held_back.get(0, 0) > made.now) is closed
    made.now += SECOND // 2
    assert (home in made.candidates(request(made), made.ring)) is not closed


def test_a_worker_whose_last_call_out_timed_out_is_not_silent_for_good():
    made = dispatcher(1)
    one = request(made)
    home = made.workers[0]
    one.function.replica(home).copies, one.function.replica(home).seen = 1, made.now
    one.state = State.OUT
    made.send(one, one.function.replica(home))
    made.now += 30_000
    assert not made.fit(home)
    made.on_attempt_finished(one.attempts[0], Outcome.TIMED_OUT, Answer(30_000))
    home.suspect = False
    assert not made.fit(home)
    made.now += 100_000
    assert made.fit(home)
    made.send(request(made), one.function.replica(home))
    assert not made.fit(home)  # one at a time, until it is heard from


def test_an_order_whose_connection_broke_stands_and_its_waiters_go_there():
    """Seen on sockets: ten orders a second lost their connection, and what they loaded was ordered anew."""
    made = dispatcher(2)
    made.taken.extend([made.now] * 100)
    one = request(made)
    home = made.walk(one.function)[0]
    replica = one.function.replica(home)
    made.order(replica, 1)
    one.state = State.PARKED
    replica.waiters.append(one)
    made.on_preload_finished(home, one.function, Outcome.RESET, 0, 6_000)
    assert one.attempts[0].worker is home and not one.attempts[0].cold and home.emptied < 0


@pytest.mark.parametrize(
    ("absent", "outcome", "emptied"),
    [("miss", Outcome.RESET, False), ("load", Outcome.RESET, True), ("miss", Outcome.UNREACHABLE, True)],
)
def test_a_reset_alone_is_no_restart_where_a_miss_would_tell(absent, outcome, emptied):
    made = dispatcher(2, **{"when-absent": absent})
    one, other = request(made), request(made, name="g")
    home = made.walk(one.function)[0]
    stands = other.function.replica(home)
    stands.copies, stands.seen = 1, made.now - 1
    one.state = State.OUT
    made.send(one, one.function.replica(home))
    made.on_attempt_finished(one.attempts[0], outcome, Answer(10))
    assert (made.believed(stands) == 0) is emptied


def test_a_worker_whose_line_of_loads_is_full_gets_no_load_until_one_ends_there():
    made = dispatcher(3)
    made.taken.extend([made.now] * 100)
    one, other = request(made, name="f"), request(made, name="g")
    home, next_, _ = made.walk(one.function)
    replica, second = one.function.replica(home), other.function.replica(home)
    made.order(replica, 1)
    made.on_preload_finished(home, one.function, Outcome.REJECTED, 0, 5)
    assert not made.order(second, 1) and len(made.orders) == 1  # the ration is kept for those that may
    one.state = State.OUT
    made.send(one, replica)
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(10))
    assert one in one.function.replica(next_).waiters and acts(made, "preload")[-1][1] is next_
    home.line_until = made.now + 1
    second.ordered.append(Order(made.now, True))
    second.loading, made.loading = 1, made.loading + 1
    made.on_preload_finished(home, other.function, Outcome.OK, 1, 8_000)
    assert made.order(replica, 1)


def test_front_ends_share_out_a_hot_function_and_leave_a_seldom_one_at_home():
    hot, seldom, homes = Function("hot"), Function("seldom"), set()
    for me in range(40):
        made = dispatcher(20)
        made.settings = replace(made.settings, instance_index=me, dispatcher_count=40)
        for function, share in ((hot, 0.2), (seldom, 0.01)):
            function.version, function.asked = -1, DecayingSum(100_000)
            function.asked.add(made.now, share * 500_000 + made.weight(0))
        made.demand.add(made.now, 500_000)
        homes.add(made.entered(hot)[0].name)
        assert made.entered(seldom)[0] is made.walk(seldom)[0]
    assert 10 <= len(homes) <= 12


def test_a_front_end_that_meets_workers_seldom_remembers_and_avoids_them_for_longer():
    often, seldom = dispatcher(4), dispatcher(90)
    for made in (often, seldom):
        made.ok_count.add(made.now, 30.0)
        made.on_request(request(made))
    assert often.stretch == 1 and 2 < seldom.stretch < 4
    replica = Function("f", iso=1_000.0).replica(seldom.workers[0])
    replica.window.extend([90_000] * 9)
    seldom.judge_zone(replica)
    seldom.now += 3 * SECOND
    assert seldom.zone(replica) is Zone.UNSAFE


def test_a_reported_queue_counts_as_latency_to_come_where_workers_are_met_seldom():
    for stretch, crowded in ((1.0, False), (3.0, True)):
        made = dispatcher(1)
        made.stretch = stretch
        made.ok_count.add(made.now, 15.0)
        one = request(made)
        made.on_request(one)
        made.stretch = stretch
        made.on_attempt_finished(one.attempts[0], Outcome.OK, Answer(900, over=True, report={"backlog": 20}))
        assert (made.worker_zone(one.function.replica(made.workers[0])) is Zone.UNSAFE) == crowded


def test_a_full_answer_that_took_long_holds_back_that_customer_alone():
    made = dispatcher(1, **{"when-absent": "load"})
    made.settings = replace(made.settings, customers=(CustomerSettings(), CustomerSettings()))
    made.asked = [DecayingSum(50_000), DecayingSum(50_000)]
    one, same, other = request(made), request(made), request(made)
    other.customer = 1
    made.on_request(one)
    made.on_attempt_finished(one.attempts[0], Outcome.REJECTED, Answer(2_000))
    for late in (same, other):
        made.on_request(late)
    assert same.over and not same.attempts and other.attempts


@pytest.mark.parametrize(("absent", "guessed"), [("miss", True), ("load", False)])
def test_copies_of_others_are_guessed_only_where_a_miss_is_cheap(absent, guessed):
    made = dispatcher(1, **{"when-absent": absent})
    replica, made.stretch, made.now = Function("f").replica(made.workers[0]), 3.0, 200_000
    assert made.presumed(replica) == guessed
    replica.missing = made.now
    assert not made.presumed(replica)


@pytest.mark.parametrize("stands", [False, True])
def test_a_miss_without_order_budget_goes_on_only_where_a_copy_is_believed(stands):
    """Sent on blindly one in twenty met a copy, and six call-outs were paid for each denial (calm+mass)."""
    made = dispatcher(3, **{"free-loads": 0, "load-share": 0.0})
    one = request(made)
    last = one.function.replica(made.walk(one.function)[2])
    made.on_request(one)
    last.copies, last.seen = int(stands), made.now
    made.on_attempt_finished(one.attempts[0], Outcome.NOT_LOADED, Answer(30))
    assert [c.worker for c in one.attempts[1:]] == [last.worker] * stands
    assert one.over is not stands and len(acts(made, "reject")) == int(not stands)


def test_a_worker_only_looked_at_is_not_one_used_before():
    """Each was taken as warm, as others share the order, and half of all call-outs missed (calm+mass)."""
    made = front_end_of_many()
    one = request(made)
    home, second, third = made.walk(one.function)[:3]
    home.line_until = second.line_until = made.now + 1
    assert made.first_cold(one, made.walk(one.function)).worker is third and set(one.function.replicas) == {
        third
    }


def test_what_missed_at_home_is_loaded_there_and_not_where_it_missed_last():
    made = front_end_of_many()
    one = request(made)
    home, second = made.walk(one.function)[:2]
    one.attempts = [Attempt(one, worker, made.now, outcome=Outcome.NOT_LOADED) for worker in (home, second)]
    assert made.missed(one, one.function.replica(second)) is Input.WAITS
    assert [o[1] for o in acts(made, "preload")] == [home] and one.function.replica(home).waiters == [one]


def test_the_home_in_the_order_is_the_last_resort_where_all_look_unsafe():
    made = dispatcher(2, **{"when-absent": "load"})
    one, made.load_limit = request(made), 1.0
    for worker in made.workers:
        worker.timed(made.now, 900_000.0, 1_000.0)
    made.on_request(one)
    assert one.attempts[0].worker is made.walk(one.function)[0]


@pytest.mark.parametrize("shedding", [False, True])
def test_while_the_fleet_sheds_no_copy_is_added_beside_one(shedding):
    made = dispatcher(3, **{"when-absent": "load", "load-share": 1.0, "free-loads": 50})
    made.fleet.shedding = shedding
    call = request(made)
    call.began = made.now
    warm = call.function.replica(made.walk(call.function)[0])
    warm.copies, warm.seen, warm.zone, warm.until = 1, made.now, Zone.WARNING, made.now + 50_000
    warm.out = 1  # all that a worker in Warning takes
    assert made.place(call, None) is Input.SENT
    assert len(made.host.of("preload")) == (not shedding)


def test_a_suspect_that_others_try_waits_for_their_word_or_ten_seconds():
    made = dispatcher(3)
    worker = made.workers[0]
    worker.suspect, worker.due, worker.trial, made.suspects = True, made.now, False, 1
    assert not made.fit(worker)
    made.on_peer_verdict(worker, made.now - worker.pause)  # from before we judged it
    assert worker.suspect
    made.now += 10 * SECOND
    assert made.fit(worker)  # nobody told: we try it ourselves
    made.on_peer_verdict(worker, made.now)
    assert not worker.suspect and made.suspects == 0
