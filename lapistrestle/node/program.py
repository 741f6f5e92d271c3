"""One dispatcher of the platform: the edge's core with a FastCGI front, connection pools and discovery."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from lapistrestle.edge.core import Core, Log
from lapistrestle.node.configuration import Configuration, ConfigurationError
from lapistrestle.node.discovery import ServiceDiscovery
from lapistrestle.node.front import BYTES_PER_MB, Front
from lapistrestle.node.memory import MemoryMonitor
from lapistrestle.node.runner_connection import PRELOAD_WAIT
from lapistrestle.node.runners import RunnerPools
from lapistrestle.policy.dispatcher import Dispatcher

# Ticks of 0.1 ms:
GUARD_SLACK = 40  # after its deadline the host answers a request that the module has not closed
ACCEPT_AFTER_SIGTERM = 7_500  # for which new connections and requests are still accepted
# The platform sends SIGKILL no sooner than this after SIGTERM: the longest deadline of a call, of which at
# most MAX_COUNTED_DEADLINE counts, plus KILL_AFTER_DEADLINE.
MAX_COUNTED_DEADLINE = 30_000
KILL_AFTER_DEADLINE = 7_000
KILL_MARGIN = 500  # before the earliest SIGKILL all open requests are aborted
# A configuration that can't be used is read again at this interval, for this time. Events of another board
# that it names count as notified 4 s after the signal.
RELOAD_INTERVAL = 1_000
RELOAD_TIMEOUT = 60_000


@dataclass(frozen=True)
class Reload:
    """One attempt to read the configuration after a SIGHUP."""

    number: int  # of the signal; a later signal supersedes it
    tries: int  # previous attempts
    read: Callable[[], Configuration]


class Node:
    """The dispatcher process: its parts, start, reload and shutdown."""

    def __init__(
        self, reactor: Any, configuration: Configuration, log: Log, make: Callable[..., Any] = Dispatcher
    ) -> None:
        seed = int(configuration.file.seed, 16)
        memory_limit = int(configuration.file.limits.memory_mb * BYTES_PER_MB)
        settings = replace(configuration.settings, preload_delay=PRELOAD_WAIT, memory_limit=memory_limit)
        self.core = Core(reactor, configuration.file.name, settings, log, seed, GUARD_SLACK, make)
        self.pools = RunnerPools(self.core, configuration)
        self.discovery = ServiceDiscovery(self.core, configuration)
        self.front = Front(self.core, configuration)
        self.front.ready = self.discovery.ready
        self.core.front, self.core.make_runner, self.core.sources = self.front, self.pools, [self.discovery]
        self.memory = MemoryMonitor(self.core, self.front)
        self.shutting_down = False
        self.reloads = 0

    def start(self) -> int:
        """Start listening. Returns the port. Raises OSError if the address can't be bound."""
        port = self.core.start()
        self.pools.start()
        self.memory.start()
        return port

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration: the board's address and the known workers are all that may change."""
        self.discovery.apply_known(configuration.file.known)
        self.discovery.move_to(configuration.file.board)

    def reload(self, read: Callable[[], Configuration]) -> None:
        """Handle SIGHUP: read the configuration, repeatedly if it is invalid, as it may be half-written."""
        self.reloads += 1
        self.try_reload(Reload(self.reloads, 0, read))

    def try_reload(self, reload: Reload) -> None:
        """Read and apply the configuration; if it is invalid, schedule another attempt."""
        if reload.number != self.reloads:  # another signal came
            return
        try:
            self.apply_configuration(reload.read())
        except ConfigurationError as error:
            if not reload.tries:
                self.core.log("configuration refused, the old one holds", reason=str(error))
            if reload.tries < RELOAD_TIMEOUT // RELOAD_INTERVAL:
                again = Reload(reload.number, reload.tries + 1, reload.read)
                self.core.after(RELOAD_INTERVAL, self.try_reload, again)

    def shut_down(self, stopped: Callable[[], None]) -> None:
        """Handle SIGTERM: serve new requests for a while, then finish the open ones, all before SIGKILL."""
        if self.shutting_down:
            return
        self.shutting_down = self.front.shutting_down = True
        self.core.log("leaving", open=self.core.host.open_requests)
        longest = max(method.deadline for method in self.core.settings.methods)
        last = min(longest, MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE - KILL_MARGIN
        self.core.after(min(ACCEPT_AFTER_SIGTERM, last), self.core.stop, stopped)
        self.core.after(last, self.cut_short, stopped)

    def cut_short(self, stopped: Any) -> None:
        """Abort the open requests, as SIGKILL may come soon."""
        if not self.core.stopping or self.core.on_stopped is not None:
            self.core.stop(stopped)
