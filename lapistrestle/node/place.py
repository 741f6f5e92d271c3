"""What a dispatcher is told of its place: the file that EDGE_CONFIG names, checked."""

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from lapistrestle.deployment import words
from lapistrestle.interface import Facts

ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
Address = Annotated[str, Meta(pattern=f"^{ADDRESS.pattern}$")]


class Wrong(Exception):
    """What can't be used; the text is meant for the person who started the program."""


class Limits(Struct):
    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 256


class Row(Struct):
    """A runner as the file's notices name it."""

    id: Annotated[str, Meta(pattern=r"^s-[0-9a-f]{8}$")]
    addr: Address
    zone: str
    kind: str
    cell: int
    state: str
    weight: float = 1.0
    started_ms: float = 0


class Pool(Struct):
    full: bool
    servers: list[Row]


class Notice(Struct):
    rev: Annotated[int, Meta(ge=0)]
    pool: Pool


class Known(Struct):
    rev: Annotated[int, Meta(ge=0)] = 0
    notices: list[Notice] = field(default_factory=list)


class Profile(Struct):
    name: Annotated[str, Meta(min_length=1)]
    deadline: Annotated[int, Meta(gt=0)]


class Tenant(Struct):
    name: Annotated[str, Meta(min_length=1)]


class Own(Struct, rename="kebab"):
    """As much of the settings' limits as the transport needs."""

    streams_per_conn: Annotated[int, Meta(ge=1)] = 32
    conn_idle: Annotated[int, Meta(ge=0)] = 15_000_000  # microseconds
    dial_timeout: Annotated[int, Meta(gt=0)] = 250_000
    max_open: Annotated[int, Meta(ge=1)] = 20_000


class Told(Struct):
    """As much of the settings as is checked; the module gets all of them."""

    profiles: Annotated[list[Profile], Meta(min_length=1)]
    tenants: list[Tenant] | None = None
    zones: list[str] = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    limits: Own = field(default_factory=Own)


class File(Struct):
    name: str
    listen: Address
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$")]
    settings: dict[str, Any]
    board: Address | None = None
    limits: Limits = field(default_factory=Limits)
    known: Known = field(default_factory=Known)


class Place(Struct):
    """One checked file."""

    file: File
    told: Told
    facts: Facts

    @property
    def report_names(self) -> dict[str, str]:
        """Names of the figures on the sockets to those that the module knows them by."""
        names = words.part(self.file.settings, "reporting").get("names") or []
        socket = {wire: said for said, wire in words.SAID.items()}
        return {socket.get(name, name): name for name in names} | {name: name for name in names}


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def read(path: str | None) -> Place:
    """Raises Wrong, which names the file, what is wrong and where."""
    if not path:
        raise Wrong("EDGE_CONFIG is not set; it names the file of the configuration")
    try:
        raw = Path(path).read_bytes()
    except OSError as trouble:
        raise Wrong(f"{path}: can't be read: {trouble.strerror}") from None
    return parse(raw, path)


def bare(settings: Any) -> Any:
    """Without what is null, which reads as missing."""
    if isinstance(settings, dict):
        return {name: bare(value) for name, value in settings.items() if value is not None}
    return [bare(value) for value in settings] if isinstance(settings, list) else settings


def parse(raw: bytes, path: str) -> Place:
    try:
        file = msgspec.json.decode(raw, type=File)
        told = msgspec.convert(bare(file.settings), Told)
        return Place(file, told, words.facts(file.settings))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise Wrong(f"{path}: {trouble}") from None
    except (TypeError, ValueError, AttributeError, KeyError) as trouble:
        raise Wrong(f"{path}: settings can't be used: {trouble}") from None


def place_of(environ: Mapping[str, str]) -> Place:
    """As the file says that the environment names; where to listen and the name may stand there too. Raises
    Wrong."""
    place, listen = read(environ.get("EDGE_CONFIG")), environ.get("EDGE_LISTEN", "")
    if listen and not ADDRESS.fullmatch(listen):
        raise Wrong(f"EDGE_LISTEN is {listen!r}; expected an address and a port, such as 10.0.0.4:10080")
    place.file.listen = listen or place.file.listen
    place.file.name = environ.get("EDGE_NAME") or place.file.name
    return place
