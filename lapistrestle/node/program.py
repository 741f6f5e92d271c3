"""One dispatcher of the platform: the edge's core with a FastCGI front, runners' pools and the board."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lapistrestle.edge.core import Core, Log
from lapistrestle.node.configuration import Configuration, ConfigurationError
from lapistrestle.node.connection import PROMPT
from lapistrestle.node.discovery import ServiceDiscovery
from lapistrestle.node.front import Front
from lapistrestle.node.runners import RunnerPools
from lapistrestle.policy.dispatcher import Dispatcher

GUARD = 40  # tenths of a millisecond past its deadline at which an RPC is answered whatever the module does
LINGER = 7_500  # after SIGTERM new connections and requests still come for some tenths of a second
COUNTED = 30_000  # SIGKILL comes no sooner than the longest deadline, longer ones counted as this,
KILLED = 7_000  # and this after it
SPARE = 500  # before that all that is left is answered
REREAD = 1_000  # between two readings of a configuration that can't be used yet,
REREAD_FOR = 60_000  # for so long; what another board tells counts as told 4 s after the signal


class Node:
    """Puts the parts together, and knows when to begin and when to end."""

    def __init__(
        self, reactor: Any, configuration: Configuration, log: Log, make: Callable[..., Any] = Dispatcher
    ) -> None:
        seed = int(configuration.file.seed, 16)
        settings = replace(configuration.settings, preload_delay=PROMPT)
        self.core = Core(reactor, configuration.file.name, settings, log, seed, GUARD, make)
        self.pools = RunnerPools(self.core, configuration)
        self.discovery = ServiceDiscovery(self.core, configuration)
        self.front = Front(self.core, configuration)
        self.front.ready = self.discovery.ready
        self.core.front, self.core.make_runner, self.core.sources = self.front, self.pools, [self.discovery]
        self.leaving, self.readings = False, 0

    def start(self) -> int:
        """Raises OSError where the address can't be listened at."""
        port = self.core.start()
        self.pools.start()
        return port

    def renewed(self, configuration: Configuration) -> None:
        """A new configuration is in force; what can change in a running dispatcher is where the board is, and
        what it has told."""
        self.discovery.apply_known(configuration.file.known)
        self.discovery.move_to(configuration.file.board)

    def reload(self, read: Callable[[], Configuration]) -> None:
        """SIGHUP: a file caught half-written is read again, as nobody tells when it is whole."""
        self.readings += 1
        self.reread((self.readings, 0, read))

    def reread(self, given: tuple[int, int, Callable[[], Configuration]]) -> None:
        reading, tries, read = given
        if reading != self.readings:  # another signal came
            return
        try:
            self.renewed(read())
        except ConfigurationError as trouble:
            if not tries:
                self.core.log("configuration refused, the old one holds", why=str(trouble))
            if tries < REREAD_FOR // REREAD:
                self.core.after(REREAD, self.reread, (reading, tries + 1, read))

    def leave(self, stopped: Callable[[], None]) -> None:
        """SIGTERM: serve what still comes for a while, then take nothing new and finish what is open, all of
        it before SIGKILL may come."""
        if self.leaving:
            return
        self.leaving = self.front.leaving = True
        self.core.log("leaving", open=self.core.host.open)
        longest = max(method.deadline for method in self.core.settings.methods)
        last = min(longest, COUNTED) + KILLED - SPARE
        self.core.after(min(LINGER, last), self.core.stop, stopped)
        self.core.after(last, self.cut_short, stopped)

    def cut_short(self, stopped: Any) -> None:
        if not self.core.stopping or self.core.stopped is not None:
            self.core.stop(stopped)
