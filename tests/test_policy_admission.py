"""What is turned away at once."""

from helpers import acts, change, dispatcher, request

from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.settings import CustomerSettings


def test_what_cannot_come_back_in_time_is_denied_at_once() -> None:
    made = dispatcher(2)
    one = request(made)
    one.deadline = made.now + int(made.latency.isolated(one.function)) - 1
    made.on_request(one)
    assert one.over and acts(made, "reject") and not one.attempts


def test_traffic_beyond_a_share_yields_first_under_pressure() -> None:
    made = dispatcher(2)
    change(made, customers=(CustomerSettings(2.0), CustomerSettings(900.0)))
    made.admission.demand_by_customer, made.attempts.warm_count = (
        [DecayingSum(50_000), DecayingSum(50_000)],
        40,
    )
    made.admission.demand_by_customer[0].add(made.now, 1e6)
    made.throughput.ok_answers.add(made.now, 110.0)
    greedy, fair = request(made), request(made)
    fair.customer = 1
    assert (
        made.latency.objective(fair) / 2
        < (40 - 1 - 2 * 40**0.5) / made.throughput.rate(made.throughput.ok_answers)
        < made.latency.objective(fair)
    )
    assert (
        made.admit(greedy, None) is RequestEvent.NO_WORKER and made.admit(fair, None) is RequestEvent.ADMITTED
    )


def test_four_rpcs_in_flight_at_a_quiet_front_end_are_no_pressure() -> None:
    """Seen with 96 front ends on a quiet day: two in flight over a pace of 3 RPCs/s were denied."""
    made = dispatcher(3)
    made.attempts.warm_count = 4
    made.throughput.ok_answers.add(made.now, 9.0)
    assert made.attempts.warm_count / made.throughput.rate(
        made.throughput.ok_answers
    ) > made.latency.objective(request(made))
    assert made.admit(request(made), None) is RequestEvent.ADMITTED and not made.admission.under_pressure
