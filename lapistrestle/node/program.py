"""One dispatcher of the platform: the edge's core with a FastCGI front, runners' pools and the board."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from lapistrestle.edge.core import Core, Log
from lapistrestle.node.configuration import Configuration, ConfigurationError
from lapistrestle.node.discovery import ServiceDiscovery
from lapistrestle.node.front import Front
from lapistrestle.node.runner_connection import PRELOAD_WAIT
from lapistrestle.node.runners import RunnerPools
from lapistrestle.policy.dispatcher import Dispatcher

# Tenths of a millisecond:
GUARD_SLACK = 40  # past its deadline at which a request is answered whatever the module does
ACCEPT_AFTER_SIGTERM = 7_500  # new connections and requests still come for so long
MAX_COUNTED_DEADLINE = 30_000  # SIGKILL comes no sooner than the longest deadline, counted as this at most,
KILL_AFTER_DEADLINE = 7_000  # and this after it (page of the days, "New configurations and restarts")
KILL_MARGIN = 500  # before SIGKILL all that is left is answered
RELOAD_INTERVAL = 1_000  # between two readings of a configuration that can't be used yet,
RELOAD_TIME_OUT = 60_000  # for so long; what another board tells counts as notified 4 s after the signal


@dataclass(frozen=True)
class Reload:
    """A reading of the configuration after a SIGHUP."""

    number: int  # of the signal: a later one takes over
    tries: int  # before this one
    read: Callable[[], Configuration]


class Node:
    """Puts the parts together, and knows when to begin and when to end."""

    def __init__(
        self, reactor: Any, configuration: Configuration, log: Log, make: Callable[..., Any] = Dispatcher
    ) -> None:
        seed = int(configuration.file.seed, 16)
        settings = replace(configuration.settings, preload_delay=PRELOAD_WAIT)
        self.core = Core(reactor, configuration.file.name, settings, log, seed, GUARD_SLACK, make)
        self.pools = RunnerPools(self.core, configuration)
        self.discovery = ServiceDiscovery(self.core, configuration)
        self.front = Front(self.core, configuration)
        self.front.ready = self.discovery.ready
        self.core.front, self.core.make_runner, self.core.sources = self.front, self.pools, [self.discovery]
        self.leaving = False
        self.reloads = 0

    def start(self) -> int:
        """Raises OSError where the address can't be listened at."""
        port = self.core.start()
        self.pools.start()
        return port

    def apply_configuration(self, configuration: Configuration) -> None:
        """A new configuration is in force; what can change in a running dispatcher is where the board is, and
        which events it has had.
        """
        self.discovery.apply_known(configuration.file.known)
        self.discovery.move_to(configuration.file.board)

    def reload(self, read: Callable[[], Configuration]) -> None:
        """SIGHUP: a file caught half-written is read again, as nobody tells when it is whole."""
        self.reloads += 1
        self.try_reload(Reload(self.reloads, 0, read))

    def try_reload(self, reload: Reload) -> None:
        """Read the configuration, and once more a little later where it can't be used."""
        if reload.number != self.reloads:  # another signal came
            return
        try:
            self.apply_configuration(reload.read())
        except ConfigurationError as error:
            if not reload.tries:
                self.core.log("configuration refused, the old one holds", reason=str(error))
            if reload.tries < RELOAD_TIME_OUT // RELOAD_INTERVAL:
                again = Reload(reload.number, reload.tries + 1, reload.read)
                self.core.after(RELOAD_INTERVAL, self.try_reload, again)

    def shut_down(self, stopped: Callable[[], None]) -> None:
        """SIGTERM: serve what still comes for a while, then take nothing new and finish what is open, all of
        it before SIGKILL may come.
        """
        if self.leaving:
            return
        self.leaving = self.front.leaving = True
        self.core.log("leaving", open=self.core.host.open_requests)
        longest = max(method.deadline for method in self.core.settings.methods)
        last = min(longest, MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE - KILL_MARGIN
        self.core.after(min(ACCEPT_AFTER_SIGTERM, last), self.core.stop, stopped)
        self.core.after(last, self.cut_short, stopped)

    def cut_short(self, stopped: Any) -> None:
        """Answer all that is left: SIGKILL is near."""
        if not self.core.stopping or self.core.stopped is not None:
            self.core.stop(stopped)
