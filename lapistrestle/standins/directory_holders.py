"""A directory of instances in a day: its holders, each a program, and links from every edge to each."""

from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from lapistrestle.deployment.schema import (
    Deployment,
    Directory,
    DirectoryCopy,
    DirectoryServe,
    HolderDeployment,
    Roster,
)
from lapistrestle.standins.relays import Link
from lapistrestle.standins.tape import Tape


class HolderHandle(Protocol):
    """How a day has hold of one holder."""

    name: str

    def start(self) -> None: ...
    def port(self) -> int: ...  # 0 while it does not listen
    def stall(self) -> None: ...
    def resume(self) -> None: ...
    def kill(self) -> None: ...


class HolderFactory(Protocol):
    """Makes holders: objects in virtual time, or processes."""

    def ports(self, count: int) -> list[int]:
        """Ports for holders, each another; a holder that starts anew takes its port again."""
        ...

    def make(self, settings: HolderDeployment, start: int) -> HolderHandle:
        """A holder that has not started; `start` counts the starts of its name."""
        ...


@dataclass(eq=False)
class HolderSlot:
    """A holder of the deployment, whichever process it is now."""

    settings: HolderDeployment
    handle: HolderHandle
    starts: int = 0
    still: int = 0  # by how many troubles it stands still
    down: bool = False  # killed, and not started anew yet
    links: dict[str, Link] = field(default_factory=dict)  # by edge

    @property
    def name(self) -> str:
        return self.settings.serve.name


def holder_names(directory: Directory) -> dict[tuple[str, int], str]:
    """A name for each holder of a deployment, by the host and port that stand in its shards."""
    found: dict[tuple[str, int], str] = {}
    for copies in directory.shards:
        for copy in copies:
            found.setdefault((copy.host, copy.port), f"holder-{len(found)}")
    return found


class DirectoryHolders:
    """All holders of a day. Ports in the deployment only tell its holders apart: real ones are free ones."""

    def __init__(
        self, reactor: Any, tape: Tape, deployment: Deployment, roster_port: int, holders: HolderFactory
    ) -> None:
        self.reactor, self.tape, self.directory, self.holders = reactor, tape, deployment.directory, holders
        self.names = holder_names(self.directory)
        ports = dict(zip(self.names.values(), holders.ports(len(self.names)), strict=True))
        self.places: dict[str, HolderSlot] = {}
        for (host, port), name in self.names.items():
            shards = [n for n, copies in enumerate(self.directory.shards)
                      if any((copy.host, copy.port) == (host, port) for copy in copies)]  # fmt: skip
            zone = next(copy.zone for copy in self.directory.shards[shards[0]]
                        if (copy.host, copy.port) == (host, port))  # fmt: skip
            serve = DirectoryServe(name=name, port=ports[name], zone=zone, shards=shards)
            settings = HolderDeployment(
                directory=self.directory, serve=serve, roster=Roster(port=roster_port),
                workers=deployment.workers,
            )  # fmt: skip
            self.places[name] = HolderSlot(settings, holders.make(settings, 0))

    def start(self) -> None:
        for place in self.places.values():
            place.handle.start()

    def up(self) -> bool:
        return all(place.handle.port() for place in self.places.values())

    def directory_of(self, edge: str) -> Directory:
        """The settings of one edge: it reaches each holder through a link of its own."""
        shards = [
            [DirectoryCopy(port=self.link(edge, self.names[copy.host, copy.port]).port, zone=copy.zone)
             for copy in copies]
            for copies in self.directory.shards
        ]  # fmt: skip
        return msgspec.structs.replace(self.directory, shards=shards)

    def link(self, edge: str, holder: str) -> Link:
        place = self.places[holder]
        if edge not in place.links:
            place.links[edge] = Link(self.reactor, self.tape, edge, holder, place.settings.serve.port)
        return place.links[edge]

    # what goes wrong

    def stall(self, place: HolderSlot) -> None:
        place.still += 1
        if place.still == 1:
            self.tape.put(place.name, "stalled")
            place.handle.stall()

    def resume(self, place: HolderSlot) -> None:
        if place.still:
            place.still -= 1
            if not place.still:
                self.tape.put(place.name, "resumed")
                place.handle.resume()

    def kill(self, place: HolderSlot) -> None:
        """Of two kills that overlap the second meets nobody."""
        if place.down:
            return
        place.down = True
        if place.still:
            place.still = 0
            self.tape.put(place.name, "resumed")
        self.tape.put(place.name, "killed")
        place.handle.kill()

    def restart(self, place: HolderSlot) -> None:
        """The same name and port, another process that knows nothing; unless it is back already."""
        if not place.down:
            return
        place.down = False
        place.starts += 1
        place.handle = self.holders.make(place.settings, place.starts)
        place.handle.start()

    def cut(self, edge: str, holder: str) -> None:
        self.tape.put("day", "cut", edge=edge, holder=holder)
        self.link(edge, holder).set_cut(True)

    def heal(self, edge: str, holder: str) -> None:
        self.tape.put("day", "healed", edge=edge, holder=holder)
        self.link(edge, holder).set_cut(False)
