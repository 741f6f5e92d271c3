"""Copies that are believed or presumed to be loaded."""

import pytest
from helpers import dispatcher, dispatcher_of_many, request

from lapistrestle.policy.entities import Function
from lapistrestle.policy.types import (
    AttemptResult,
    Outcome,
    State,
)


def test_not_loaded_is_believed_no_longer_than_a_load_takes() -> None:
    module = dispatcher_of_many()
    replica = Function("f", load_time=10_000).replica(module.endpoints.workers[0])
    replica.not_loaded_at = module.now
    assert not module.copies.presumed_loaded(replica)
    module.now += 20_001
    assert module.copies.presumed_loaded(replica)
    replica.function.load_time = None
    assert not module.copies.presumed_loaded(replica)


@pytest.mark.parametrize(
    ("absent", "outcome", "emptied"),
    [("miss", Outcome.RESET, False), ("load", Outcome.RESET, True), ("miss", Outcome.UNREACHABLE, True)],
)
def test_a_reset_alone_is_no_restart_if_workers_report_not_loaded(
    absent: str, outcome: Outcome, emptied: bool
) -> None:
    module = dispatcher(2, **{"when-absent": absent})
    req, other = request(module), request(module, name="g")
    home = module.orders.function_order(req.function)[0]
    loaded = other.function.replica(home)
    loaded.copies, loaded.confirmed_at = 1, module.now - 1
    req.state = State.OUT
    module.attempts.send(req, req.function.replica(home))
    module.on_attempt_finished(req.attempts[0], outcome, AttemptResult(10))
    assert (module.copies.believed_count(loaded) == 0) is emptied


@pytest.mark.parametrize(("absent", "presumed"), [("miss", True), ("load", False)])
def test_copies_of_other_dispatchers_are_presumed_only_if_workers_report_not_loaded(
    absent: str, presumed: bool
) -> None:
    module = dispatcher(1, **{"when-absent": absent})
    replica, module.throughput.time_constant_factor, module.now = (
        Function("f").replica(module.endpoints.workers[0]),
        3.0,
        200_000,
    )
    assert module.copies.presumed_loaded(replica) == presumed
    replica.not_loaded_at = module.now
    assert not module.copies.presumed_loaded(replica)
