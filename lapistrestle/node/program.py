"""One dispatcher of the platform: the edge's core with a FastCGI front, the runners' speech and the board."""

from collections.abc import Callable
from typing import Any

from lapistrestle.choice import Dispatcher
from lapistrestle.edge.core import Core, Log
from lapistrestle.node.board import Board
from lapistrestle.node.front import Front
from lapistrestle.node.place import Place
from lapistrestle.node.runners import PROMPT, Speech

GUARD = 40  # tenths of a millisecond past its deadline at which an RPC is answered whatever the module does
LINGER = 7_500  # after SIGTERM new connections and requests still come for some tenths of a second
SPARE = 1_000  # and at the longest deadline all that is left is answered


class Node:
    """Puts the parts together, and knows when to begin and when to end."""

    def __init__(
        self, reactor: Any, place: Place, log: Log, make: Callable[..., Any] = Dispatcher
    ) -> None:
        seed = int(place.file.seed, 16)
        self.core = Core(reactor, place.file.name, place.facts, log, seed, GUARD, make, PROMPT)
        self.speech, self.board = Speech(self.core, place), Board(self.core, place)
        self.front = Front(self.core, place)
        self.front.ready = self.board.ready
        self.core.front, self.core.speech, self.core.sources = self.front, self.speech, [self.board]
        self.leaving = False

    def start(self) -> int:
        """Raises OSError where the address can't be listened at."""
        port = self.core.start()
        self.speech.start()
        return port

    def renewed(self, place: Place) -> None:
        """A new configuration is in force; what can change in a running dispatcher is where the board is."""
        self.board.move(place.file.board)

    def leave(self, stopped: Callable[[], None]) -> None:
        """SIGTERM: serve what still comes for a while, then take nothing new and finish what is open."""
        if self.leaving:
            return
        self.leaving = self.front.leaving = True
        self.core.log("leaving", open=self.core.host.open)
        self.core.after(LINGER, self.stop, stopped)

    def stop(self, stopped: Any) -> None:
        longest = max(method["deadline"] for method in self.core.facts["methods"])
        self.core.after(longest - SPARE, self.cut_short, stopped)
        self.core.stop(stopped)

    def cut_short(self, stopped: Any) -> None:
        if self.core.stopped is not None:
            self.core.stop(stopped)
