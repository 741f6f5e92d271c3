"""Over real processes that are stopped: nothing is started for clients that have gone, and deadlines hold.

Uses the dispatchers, boards and workers of `test_node_drains`, and checks what arrives at the workers.
"""

import os
import time
from typing import Any

import pytest
from test_node_drains import PAST, serving_worker, side_by_side

from lapistrestle.standins.platform import WebServer

__all__ = ["side_by_side"]  # the fixture

SLACK_MS = 150  # milliseconds by which the budget sent to a worker may exceed the client's time left


class SentRequests:
    """Requests of side-effecting calls, each with the time at which its client sent it."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.sent: dict[Any, Any] = {}

    def send_request(self, client: Any, patience_ms: int = 9_000) -> Any:
        """Send a request. Returns its id."""
        id_ = os.urandom(8).hex()
        self.sent[id_] = time.monotonic(), patience_ms
        client.send_request(id=id_, method="bill", patience=str(patience_ms))
        return id_

    def over_budget(self, runs: Any) -> Any:
        """Runs with a larger budget than their client had left when they began to arrive."""
        late = []
        for worker, message, arrived_at in runs:
            if message["rid"] in self.sent:
                sent, patience_ms = self.sent[message["rid"]]
                left = patience_ms - (arrived_at - sent) * 1000
                if float(message["attrs"]["budget"]) > left + SLACK_MS:
                    late.append((worker, message["attrs"]["budget"], round(left)))
        return late


def runs_of(node: Any) -> Any:
    """The RUNs that arrived at the workers, with the times of their first bytes."""
    runs = []
    for worker in node.workers:
        stamps = [start.at for start in worker.started if start.what == "RUN"]
        runs += [(worker.number, message, at) for message, at in zip(worker.runs, stamps, strict=True)]
    return runs


def run_while_stopped(reactor: Any, nodes: Any, meanwhile: Any, seconds: float = PAST) -> None:
    """Stop all dispatchers, call `meanwhile` for each, and continue them after so many seconds."""
    for node in nodes:
        node.stop()
    past = time.monotonic() + seconds
    for node in nodes:
        meanwhile(node)
    assert reactor.follow(lambda: time.monotonic() > past)
    for node in nodes:
        node.resume()


def is_alive(node: Any) -> Any:
    """Whether it answers a request that is sent after all others."""
    node.send_request()
    return node.reactor.follow(node.answered)


@pytest.mark.parametrize("how", ["abort", "close"])
def test_nothing_is_started_for_clients_that_disconnected_during_a_stall(side_by_side: Any, how: Any) -> None:
    """Several requests per connection, with the longest bodies; some clients still wait."""
    reactor, nodes = side_by_side()
    sent_requests, left, wanted = SentRequests(reactor), set(), {}
    clients = {node: [node.connected() for _ in range(4)] for node in nodes}

    def leave(node: Any) -> None:
        for client in clients[node][1:]:
            for _ in range(6):
                left.add(sent_requests.send_request(client))
                client.send_request(id=os.urandom(8).hex(), body=b"x" * 16_000, patience="9000")
        reactor.quiet()
        for client in clients[node][1:]:
            if how == "close":
                client.drop("gone")
            else:
                for number in range(2, client.last + 1):
                    client.give_up(number)
        wanted[node] = sent_requests.send_request(clients[node][0])

    for node in nodes:
        serving_worker(reactor, node)
    run_while_stopped(reactor, nodes, leave)
    for node in nodes:
        assert is_alive(node)
        came = {message["rid"] for _, message, _ in runs_of(node)}
        assert wanted[node] in came and not came & left


def test_no_retry_is_started_for_clients_that_disconnected_during_a_stall(side_by_side: Any) -> None:
    """A worker rejects the first attempt; its reply is queued before the client's close."""
    reactor, nodes = side_by_side()
    sent_requests = SentRequests(reactor)
    held: dict[Any, Any] = {}
    for node in nodes:
        serving_worker(reactor, node)
        for worker in node.workers:
            worker.on_run = lambda line, message, node=node: held.setdefault(node, (line, message))
    clients = {node: node.connected() for node in nodes}
    for node in nodes:
        sent_requests.send_request(clients[node])
    assert reactor.follow(lambda: len(held) == len(nodes))

    def leave(node: Any) -> None:
        line, message = held[node]
        line.send_message("503", message["rid"])
        reactor.quiet()
        for worker in node.workers:
            worker.on_run = None
        clients[node].drop("gone")

    run_while_stopped(reactor, nodes, leave)
    for node in nodes:
        assert is_alive(node)
        runs = [message["rid"] for _, message, _ in runs_of(node)]
        assert runs.count(held[node][1]["rid"]) == 1


def test_the_budget_sent_is_at_most_the_client_s_time_left(side_by_side: Any) -> None:
    """Requests are sent during the whole stall, on old connections and new ones."""
    reactor, nodes = side_by_side()
    sent_requests = SentRequests(reactor)
    for node in nodes:
        serving_worker(reactor, node)
    clients = {node: [node.connected() for _ in range(3)] for node in nodes}

    def send_request(node: Any) -> None:
        began = time.monotonic()
        for part in range(3):
            assert reactor.follow(lambda part=part: time.monotonic() > began + part * PAST / 2)
            for client in clients[node]:
                sent_requests.send_request(client, 3_000)
            clients[node].append(WebServer(reactor, node.port, node.host))
            sent_requests.send_request(clients[node][-1], 3_000)

    run_while_stopped(reactor, nodes, send_request)
    for node in nodes:
        assert is_alive(node)
        assert len(runs_of(node)) > 6 and sent_requests.over_budget(runs_of(node)) == []


def test_an_answer_received_during_a_stall_is_passed_on_though_its_timeout_has_passed(
    side_by_side: Any,
) -> None:
    """Guards against firing overdue timers before the sockets are polled: the answer was discarded."""
    reactor, nodes = side_by_side()
    held: dict[Any, Any] = {}
    patience = 1.5
    for node in nodes:
        serving_worker(reactor, node)
        for worker in node.workers:
            worker.on_run = lambda line, message, key=(node, worker): held.setdefault(
                key[0], (key[1], line, message)
            )
    clients = {node: node.connected() for node in nodes}
    numbers = {
        node: clients[node].send_request(
            id=os.urandom(8).hex(), method="bill", patience=str(int(patience * 1000))
        )
        for node in nodes
    }
    assert reactor.follow(lambda: len(held) == len(nodes))

    def answer(node: Any) -> None:
        worker, line, message = held[node]
        worker.answer(line, message)

    run_while_stopped(reactor, nodes, answer, patience)
    for node in nodes:
        assert reactor.follow(lambda node=node: clients[node].status(numbers[node]) is not None)
        assert clients[node].status(numbers[node]) == 200


def test_the_check_detects_a_budget_that_is_too_large() -> None:
    sent_requests = SentRequests(None)
    sent_requests.sent["a"] = 10.0, 1_000

    def run(budget: Any) -> Any:
        return [(1, {"rid": "a", "attrs": {"budget": budget}}, 10.5)]

    assert sent_requests.over_budget(run(650)) == [] and sent_requests.over_budget(run(651)) == [
        (1, 651, 500)
    ]
