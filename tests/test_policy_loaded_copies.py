"""Which copies are believed to stand."""

import pytest
from helpers import dispatcher, front_end_of_many, request

from lapistrestle.policy.entities import Function
from lapistrestle.policy.types import (
    AttemptResult,
    Outcome,
    State,
)


def test_a_miss_is_believed_no_longer_than_a_load_takes() -> None:
    made = front_end_of_many()
    replica = Function("f", load=10_000).replica(made.endpoints.workers[0])
    replica.not_loaded_at = made.now
    assert not made.copies.presumed_loaded(replica)
    made.now += 20_001
    assert made.copies.presumed_loaded(replica)
    replica.function.load = None
    assert not made.copies.presumed_loaded(replica)


@pytest.mark.parametrize(
    ("absent", "outcome", "emptied"),
    [("miss", Outcome.RESET, False), ("load", Outcome.RESET, True), ("miss", Outcome.UNREACHABLE, True)],
)
def test_a_reset_alone_is_no_restart_where_a_miss_would_tell(
    absent: str, outcome: Outcome, emptied: bool
) -> None:
    made = dispatcher(2, **{"when-absent": absent})
    one, other = request(made), request(made, name="g")
    home = made.orders.function_order(one.function)[0]
    stands = other.function.replica(home)
    stands.copies, stands.confirmed_at = 1, made.now - 1
    one.state = State.OUT
    made.attempts.send(one, one.function.replica(home))
    made.on_attempt_finished(one.attempts[0], outcome, AttemptResult(10))
    assert (made.copies.believed(stands) == 0) is emptied


@pytest.mark.parametrize(("absent", "guessed"), [("miss", True), ("load", False)])
def test_copies_of_others_are_guessed_only_where_a_miss_is_cheap(absent: str, guessed: bool) -> None:
    made = dispatcher(1, **{"when-absent": absent})
    replica, made.throughput.memory_factor, made.now = (
        Function("f").replica(made.endpoints.workers[0]),
        3.0,
        200_000,
    )
    assert made.copies.presumed_loaded(replica) == guessed
    replica.not_loaded_at = made.now
    assert not made.copies.presumed_loaded(replica)
