"""A system call that fails for a moment ends no connection."""

import errno
from typing import Any

import pytest
from node_harness import harnesses

__all__ = ["harnesses"]  # the fixture
MOMENTARY = [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN]


class FailingSocket:
    """A socket of which every second call of these methods fails with an error."""

    def __init__(self, sock: Any, error: int, methods: tuple[str, ...]) -> None:
        self.sock, self.error, self.methods = sock, error, methods
        self.calls = 0

    def __getattr__(self, name: str) -> Any:
        if name in self.methods:
            self.calls += 1
            if self.calls % 2:
                return self.fail
        return getattr(self.sock, name)

    def fail(self, *_: Any) -> None:
        raise OSError(self.error, "for a moment")


@pytest.mark.parametrize("method", ["send", "recv"])
@pytest.mark.parametrize("error", MOMENTARY)
def test_an_error_of_a_moment_on_a_client_connection_loses_no_answer(
    harnesses: Any, error: int, method: str
) -> None:
    """Guards against dropping a connection, with answers owed on it, for ENOBUFS."""
    harness = harnesses(runners=1)
    client = harness.connect_client()
    (connection,) = harness.node.front.connections
    connection.sock = FailingSocket(connection.sock, error, (method,))
    for _ in range(5):
        number = client.send_request()
        harness.reactor.until(lambda number=number: client.closed or client.status(number))
        assert client.status(number) == 200


@pytest.mark.parametrize("method", ["send", "recv"])
@pytest.mark.parametrize("error", MOMENTARY)
def test_an_error_of_a_moment_on_a_runner_connection_loses_no_call(
    harnesses: Any, error: int, method: str
) -> None:
    harness = harnesses(runners=1)
    client = harness.connect_client()
    first = client.send_request(method="bill")
    harness.reactor.until(lambda: client.status(first))
    for runner in harness.node.core.runners.values():
        for connection in runner.connections:
            connection.stream.sock = FailingSocket(connection.stream.sock, error, (method,))
    for i in range(5):
        number = client.send_request(method="bill", id=f"{i + 100:016x}")
        harness.reactor.until(lambda number=number: client.status(number))
        assert client.status(number) == 200
