"""Leases on watches: renewal, and detection of a lost connection.

A lease (Gray, Cheriton 1989) starts when its request is sent, so that it expires at the watcher before the
holder removes the watches.
"""

from collections.abc import Callable

from lapistrestle.directory.connection_state import HolderConnection
from lapistrestle.directory.effects import Send, WatcherEffect, WatcherSettings
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire.directory import Renew


class LeaseRenewal:
    """Renews leases, with one request for all watches of a connection."""

    def __init__(self, settings: WatcherSettings, emit: Callable[[WatcherEffect], None]) -> None:
        self.settings = settings
        self.emit = emit

    def renew(self, connection: HolderConnection, now: int) -> None:
        """Send a renewal, and schedule the next one."""
        connection.renewals.append(now)
        connection.renew_at = now + self.settings.heartbeat
        self.emit(Send(connection.number, Renew(now)))

    def loss_reason(self, connection: HolderConnection, now: int) -> str:
        """Why the connection counts as lost: the lease expired, or no answer came. Empty: it does not."""
        if now >= connection.lease_until:
            return "the lease expired"
        silent = now - connection.silent_since()
        if silent >= self.settings.silence_timeout:
            return f"no answer for {silent / MILLISECOND:.0f} ms"
        return ""

    def next_due(self, connection: HolderConnection) -> int:
        """When the next renewal is due or the connection counts as lost, whichever is earlier."""
        silence = connection.silent_since() + self.settings.silence_timeout
        return min(connection.renew_at, connection.lease_until, silence)
