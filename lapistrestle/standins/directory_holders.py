"""The directory of instances in a day: its holders, and a TCP relay from every edge to every holder."""

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
    """Controls one holder, which is an object in virtual time or a process."""

    name: str

    def start(self) -> None: ...
    def port(self) -> int: ...  # 0 while it is not listening
    def stall(self) -> None: ...
    def resume(self) -> None: ...
    def kill(self) -> None: ...


class HolderFactory(Protocol):
    """Creates holders: objects in virtual time, or processes."""

    def ports(self, count: int) -> list[int]:
        """Returns distinct ports for holders; a restarted holder reuses its port."""
        ...

    def make(self, settings: HolderDeployment, start: int) -> HolderHandle:
        """Creates a holder without starting it; `start` counts the restarts of this holder."""
        ...


@dataclass(eq=False)
class HolderSlot:
    """A holder of the deployment, across restarts of its process."""

    settings: HolderDeployment
    handle: HolderHandle
    starts: int = 0
    stall_count: int = 0  # active faults that stall it; it resumes once all have ended
    is_killed: bool = False  # killed and not restarted yet
    links: dict[str, Link] = field(default_factory=dict)  # by edge

    @property
    def name(self) -> str:
        return self.settings.serve.name


def holder_names(directory: Directory) -> dict[tuple[str, int], str]:
    """Names each holder of a deployment, by the host and port in the deployment's shards."""
    found: dict[tuple[str, int], str] = {}
    for copies in directory.shards:
        for copy in copies:
            found.setdefault((copy.host, copy.port), f"holder-{len(found)}")
    return found


class DirectoryHolders:
    """All holders of a day. They listen on free ports; ports in the deployment only identify its holders."""

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
        for slot in self.places.values():
            slot.handle.start()

    def up(self) -> bool:
        return all(slot.handle.port() for slot in self.places.values())

    def directory_of(self, edge: str) -> Directory:
        """Returns the directory settings of one edge, which reaches each holder through its own relay."""
        shards = [
            [DirectoryCopy(port=self.link(edge, self.names[copy.host, copy.port]).port, zone=copy.zone)
             for copy in copies]
            for copies in self.directory.shards
        ]  # fmt: skip
        return msgspec.structs.replace(self.directory, shards=shards)

    def link(self, edge: str, holder: str) -> Link:
        slot = self.places[holder]
        if edge not in slot.links:
            slot.links[edge] = Link(self.reactor, self.tape, edge, holder, slot.settings.serve.port)
        return slot.links[edge]

    # faults

    def stall(self, slot: HolderSlot) -> None:
        slot.stall_count += 1
        if slot.stall_count == 1:
            self.tape.put(slot.name, "stalled")
            slot.handle.stall()

    def resume(self, slot: HolderSlot) -> None:
        if slot.stall_count:
            slot.stall_count -= 1
            if not slot.stall_count:
                self.tape.put(slot.name, "resumed")
                slot.handle.resume()

    def kill(self, slot: HolderSlot) -> None:
        """Kills the holder; no effect if another fault has killed it already."""
        if slot.is_killed:
            return
        slot.is_killed = True
        if slot.stall_count:
            slot.stall_count = 0
            self.tape.put(slot.name, "resumed")
        self.tape.put(slot.name, "killed")
        slot.handle.kill()

    def restart(self, slot: HolderSlot) -> None:
        """Starts a new process, without state, under the same name and port, unless it runs already."""
        if not slot.is_killed:
            return
        slot.is_killed = False
        slot.starts += 1
        slot.handle = self.holders.make(slot.settings, slot.starts)
        slot.handle.start()

    def cut(self, edge: str, holder: str) -> None:
        self.tape.put("day", "cut", edge=edge, holder=holder)
        self.link(edge, holder).set_cut(True)

    def heal(self, edge: str, holder: str) -> None:
        self.tape.put("day", "healed", edge=edge, holder=holder)
        self.link(edge, holder).set_cut(False)
