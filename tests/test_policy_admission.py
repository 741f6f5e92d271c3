"""Requests that admission control rejects before any attempt."""

from helpers import change_settings, commands, dispatcher, request

from lapistrestle.policy.estimates import DecayingSum
from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.settings import CustomerSettings


def test_a_request_that_cannot_finish_in_time_is_rejected_at_once() -> None:
    module = dispatcher(2)
    req = request(module)
    req.deadline = module.now + int(module.latency.isolated(req.function)) - 1
    module.on_request(req)
    assert req.over and commands(module, "reject") and not req.attempts


def test_traffic_beyond_a_quota_is_rejected_first_under_pressure() -> None:
    module = dispatcher(2)
    change_settings(module, customers=(CustomerSettings(2.0), CustomerSettings(900.0)))
    module.admission.demand_by_customer, module.attempts.warm_count = (
        [DecayingSum(50_000), DecayingSum(50_000)],
        40,
    )
    module.admission.demand_by_customer[0].add(module.now, 1e6)
    module.throughput.ok_answers.add(module.now, 110.0)
    greedy, fair = request(module), request(module)
    fair.customer = 1
    assert (
        module.latency.objective(fair) / 2
        < (40 - 1 - 2 * 40**0.5) / module.throughput.rate(module.throughput.ok_answers)
        < module.latency.objective(fair)
    )
    assert (
        module.admit(greedy, None) is RequestEvent.NO_WORKER
        and module.admit(fair, None) is RequestEvent.ADMITTED
    )


def test_four_requests_in_flight_at_an_idle_dispatcher_are_no_pressure() -> None:
    """With 96 dispatchers and little traffic, two requests in flight at 3 answers/s led to rejections."""
    module = dispatcher(3)
    module.attempts.warm_count = 4
    module.throughput.ok_answers.add(module.now, 9.0)
    assert module.attempts.warm_count / module.throughput.rate(
        module.throughput.ok_answers
    ) > module.latency.objective(request(module))
    assert (
        module.admit(request(module), None) is RequestEvent.ADMITTED and not module.admission.under_pressure
    )
