"""The rule checker finds violations: edges that are changed to break each rule, in more than one way."""

from dataclasses import replace
from itertools import count

from days import Played, day

from lapistrestle.edge.program import Edge
from lapistrestle.hosting.requests import RequestEnd
from lapistrestle.policy.types import EndpointState
from lapistrestle.wire import messages as wire

FOREIGN_CALL_IDS = count(10**9)  # of calls that the edge under test did not number


def with_modified_edges(change):
    """Makes edges that `change` has modified."""

    def make(reactor, deployment, log):
        edge = Edge(reactor, deployment, log)
        change(edge)
        return edge

    return make


def violations_of(change, script):
    violations = Played(script, with_modified_edges(change)).violations()
    return {violation.rule[0] for violation in violations}, " ".join(
        violation.message for violation in violations
    )


def wrap(owner, name, around):
    inner = getattr(owner, name)
    setattr(owner, name, lambda *args, **more: around(inner, *args, **more))


def test_rule_1_two_answers():
    def change(edge):
        def twice(answer, pending, verdict, retry_after, body):
            answer(pending, verdict, retry_after, body)
            answer(pending, verdict, retry_after, body)

        wrap(edge, "send_answer", twice)

    rules, messages = violations_of(change, day(length="4 s"))
    assert rules == {"1"} and "2 final answers" in messages


def test_rule_1_no_answer():
    def change(edge):
        def some(answer, pending, *rest):
            if not pending.tag.endswith("7.1"):
                answer(pending, *rest)

        wrap(edge, "send_answer", some)

    rules, messages = violations_of(change, day(length="4 s"))
    assert rules == {"1"} and "never answered" in messages


def test_rule_1_a_late_answer():
    def change(edge):
        def later(answer, pending, *rest):
            delay = pending.deadline + 500 - edge.clock() if pending.tag.endswith("7.1") else 0
            edge.after(max(0, delay), lambda _: answer(pending, *rest), None)

        wrap(edge, "send_answer", later)

    rules, messages = violations_of(change, day(length="4 s", traffic={"rate": 60, "patience": [1, 1]}))
    assert "1" in rules and "late" in messages


def test_rule_1_work_after_the_answer():
    def change(edge):
        def again(answer, pending, *rest):
            answer(pending, *rest)
            attempt = pending.attempts[-1] if pending.attempts else None
            if attempt is not None:
                run = wire.Run(
                    next(FOREIGN_CALL_IDS),
                    pending.tag,
                    pending.function.name,
                    pending.message.method,
                    1000.0,
                )
                line = wire.encode(run) + b"\n"
                edge.after(500, lambda _: edge.runners[attempt.worker.name].write(line), None)

        wrap(edge, "send_answer", again)

    rules, messages = violations_of(change, day("slots", length="4 s"))
    assert "1" in rules and "sent out after its end" in messages


def test_rule_2_a_rejection_of_a_call_that_may_have_run():
    def change(edge):
        def deny(answer, pending, verdict, *rest):
            answer(pending, RequestEnd.REJECTED if verdict == RequestEnd.ABORTED else verdict, *rest)

        wrap(edge, "send_answer", deny)

    rules, messages = violations_of(change, day("archive", [{"kind": "fast_errors", "share": 0.8}]))
    assert rules == {"2"} and "rejected as not run though it may have run" in messages


def test_rule_2_a_retry_of_a_call_that_may_have_run():
    def change(edge):
        edge.host.module.candidates.allows_repeat = lambda request, worker: True

    rules, messages = violations_of(change, day("archive", [{"kind": "fast_errors", "share": 0.8}]))
    assert rules == {"2"} and (
        "side-effecting RPC is retried" in messages or "retried outside its cell" in messages
    )


def test_rule_2_two_attempts_at_once():
    def change(edge):
        def both(run, worker_call):
            run(worker_call)
            others = [
                r for name, r in edge.runners.items() if name != worker_call.worker.name and r.connection
            ]
            message = wire.Run(next(FOREIGN_CALL_IDS), worker_call.pending.tag, "fn-1", "check-slot", 900.0)
            for other in others[:1]:
                other.write(wire.encode(message) + b"\n")

        wrap(edge, "send_call", both)

    rules, messages = violations_of(change, day("slots", length="4 s"))
    assert "2" in rules and "two attempts at once" in messages


def always_serving(edge):
    def with_serving_state(facts, known):
        made = facts(known)
        made.endpoint_state = EndpointState.SERVING
        return made

    wrap(edge.known_workers, "worker_info", with_serving_state)


def test_rule_3_rpcs_to_a_drained_runner():
    rules, messages = violations_of(
        always_serving,
        day("slots", [{"kind": "deploy", "share": 0.5, "lasts": "1 s"}], roster_lag="100 ms"),
    )
    assert rules == {"3"} and "an RPC goes to" in messages


def test_rule_3_preloads_to_a_drained_runner():
    def change(edge):
        always_serving(edge)
        edge.host.module.candidates.eligible = lambda request, order, include_not_loaded=False: iter(
            ()
        )  # only its holds go out

    rules, messages = violations_of(
        change, day("slots", [{"kind": "deploy", "share": 0.9, "lasts": "1 s"}], roster_lag="100 ms")
    )
    assert rules <= {"3"}  # no calls are sent: no other rule is reported

    def orders(edge):
        always_serving(edge)

        def order(drains, name, start):
            edge.after(15_000, lambda _: edge.runners[name].write(HOLD), None)
            return drains(name, start)

        wrap(edge.known_workers, "drain_announced", order)

    rules, messages = violations_of(orders, day("slots", [{"kind": "deploy", "share": 0.5, "lasts": "1 s"}]))
    assert "3" in rules and "a preload goes to" in messages


HOLD = wire.encode(wire.PreloadRequest(10**9, "fn-1", 1, 100.0, 1)) + b"\n"
REPLACED = day(
    "thumbs", [{"kind": "preempt", "share": 0.5, "lasts": "1 s"}],
    length="8 s", traffic={"rate": 400, "functions": 8},
)  # fmt: skip


def test_rule_4_no_limit_in_slow_start():
    def change(edge):
        edge.host.module.slow_start.has_capacity = lambda worker, request: True

    rules, messages = violations_of(change, REPLACED)
    assert rules == {"4"} and "collapsed" in messages
    assert Played(REPLACED).violations() == []


def test_rule_4_starts_hidden_from_the_module():
    def change(edge):
        def without_start_time(facts, known):
            made = facts(known)
            made.booted_at = None
            return made

        wrap(edge.known_workers, "worker_info", without_start_time)

    rules, messages = violations_of(change, REPLACED)
    assert rules == {"4"} and "collapsed" in messages


def test_rule_5_preloads_are_not_counted():
    def change(edge):
        edge.host.module.preload_budget.settings = replace(edge.settings, preload_window=0)

    rules, messages = violations_of(change, day("archive"))
    assert rules == {"5"} and "allowed" in messages


def test_rule_5_a_budget_that_is_too_large():
    def change(edge):
        edge.host.module.preload_budget.settings = replace(
            edge.settings, preload_share=4 * edge.settings.preload_share
        )

    assert violations_of(change, day("archive"))[0] == {"5"}


def test_a_file_that_is_not_a_tape_is_reported(tmp_path):
    from click.testing import CliRunner

    from lapistrestle.command.main import main

    path = tmp_path / "none.tape"
    path.write_text('{"at": 1}\n')
    result = CliRunner().invoke(main, ["day", "check", str(path)])
    assert result.exit_code == 2 and "can't be judged" in result.output
