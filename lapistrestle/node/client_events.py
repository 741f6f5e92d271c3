"""Log events about clients: each is counted, and the first occurrences are logged with their figures."""

from typing import TYPE_CHECKING

from lapistrestle.edge.core import Core
from lapistrestle.node.client_memory import SHORT_EVENT

if TYPE_CHECKING:
    from lapistrestle.node.client_connection import ClientConnection

CONNECTION_CLOSED = "client connection closed"  # with requests, answers or incomplete requests on it
REQUEST_REFUSED = "request refused"
CLIENT_EVENTS = (CONNECTION_CLOSED, REQUEST_REFUSED, SHORT_EVENT)


def register(core: Core) -> None:
    """Count these events from now on; the counts are part of the final log line."""
    core.counts |= dict.fromkeys(CLIENT_EVENTS, 0)


def connection_closed(core: Core, connection: "ClientConnection", reason: str) -> None:
    """A client's connection was closed; one that held nothing is not worth a line."""
    if connection.requests or connection.unsent or connection.buffered_bytes:
        core.count_and_log(
            CONNECTION_CLOSED,
            connection=connection.number,
            reason=reason,
            phase=connection.phase.name.lower(),
            requests=len(connection.requests),
            unsent=connection.unsent_bytes,
            buffered=connection.buffered_bytes,
            paused=connection.reads_paused,
        )


def request_refused(
    core: Core, connection: "ClientConnection", request: int, call_id: str, status: int, reason: str
) -> None:
    """A request was answered without being handed to the decision module."""
    core.count_and_log(
        REQUEST_REFUSED,
        connection=connection.number,
        request=request,
        id=call_id,
        status=status,
        reason=reason,
    )
