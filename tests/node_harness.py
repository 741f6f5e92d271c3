"""A dispatcher of the platform with stand-ins for its surroundings, on one manually advanced clock."""

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from lapistrestle.node.configuration import parse_configuration
from lapistrestle.node.program import Node
from lapistrestle.policy.types import EndpointState
from lapistrestle.standins.platform import BoardStub, ManualReactor, RunnerStub, WebServer, board_row

FN = "7f3a9c21e0b4d655"
SETTINGS = {
    "balancers": 1,
    "zones": ["east", "west"],
    "models": ["std"],
    "profiles": [
        {"name": "search", "aim": 1200000, "deadline": 4000000, "idempotency": "idempotent"},
        {"name": "publish", "aim": 2500000, "deadline": 5000000, "idempotency": "deduplicated",
         "dedup-scope": "cell", "repeat-window": 3000000},
        {"name": "bill", "aim": 1500000, "deadline": 4000000, "idempotency": "at_most_once"},
    ],
    "limits": {"try-limit": 6, "cancel": True, "may-probe": True, "parallel-tries": True,
               "streams-per-conn": 32, "conn-idle": 15000000, "dial-timeout": 250000, "max-open": 20000},
    "rules": {"cold-from": 0.2, "ramp-time": 10000000, "fall": 2000000, "fall-multiple": 2.0,
              "drain-grace": 2000000},
    "reporting": {"how": "on_probe", "names": ["outstanding", "utilization"]},
    "family-info": {"placement-calls": True, "load-period": 5000000, "free-loads": 3, "load-share": 0.2,
                    "idle-life": 8000000, "when-absent": "miss", "says-company": True,
                    "answer-within": 9000000},
}  # fmt: skip


class NodeHarness:
    """A dispatcher with stand-ins for its board, runners and clients, on one manually advanced clock."""

    def __init__(self, runners: int = 2, sockets: int = 256, memory_mb: int = 192, **settings: Any) -> None:
        self.reactor = ManualReactor()
        self.logs: list[Any] = []
        self.board = BoardStub(self.reactor)
        self.runners = [RunnerStub(self.reactor) for _ in range(runners)]
        file = {
            "name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets, "memory_mb": memory_mb}, "board": f"127.0.0.1:{self.board.port}",
            "settings": SETTINGS | settings,
        }  # fmt: skip
        self.configuration = parse_configuration(msgspec.json.encode(file), "config.json")
        self.node = Node(
            self.reactor, self.configuration, lambda what, **figures: self.logs.append((what, figures))
        )
        self.port = self.node.start()
        self.host, self.module = self.node.core.host, self.node.core.host.module
        self.to_close: list[Any] = []
        self.reactor.until(lambda: self.board.subscriptions)  # answered with a heartbeat
        if runners:
            self.board.publish(1, 1, *(self.row(i) for i in range(runners)))
            self.reactor.until(lambda: len(self.workers()) == runners)
        self.reactor.run(0.01)

    def row(self, i: Any, **more: Any) -> Any:
        """The record of runner `i` in an event of the board."""
        return board_row(i + 1, self.runners[i].port, **more)

    def workers(self) -> Any:
        """The listed workers of the decision module by name."""
        return {
            worker.name: worker
            for worker in self.module.endpoints.workers
            if worker.endpoint_state is not EndpointState.REMOVED
        }

    def connect_client(self) -> Any:
        self.to_close.append(WebServer(self.reactor, self.port))
        self.reactor.quiet()
        return self.to_close[-1]

    def run_messages(self) -> Any:
        """The `RUN` messages that the runners have received, runner by runner."""
        return [message for runner in self.runners for message in runner.runs]

    def close(self) -> None:
        self.node.core.front.close_all()
        self.node.core.stop(lambda: None)
        self.reactor.run(0.1)
        listening: list[Any] = [self.board, *self.runners]
        for end in listening:
            end.listener.close()
        for end in [*self.board.followers, *(line for r in self.runners for line in r.lines), *self.to_close]:
            end.drop("over")


@pytest.fixture
def harnesses() -> Iterator[Any]:
    made = []

    def make(*args: Any, **more: Any) -> Any:
        made.append(NodeHarness(*args, **more))
        return made[-1]

    yield make
    for harness in made:
        harness.close()
