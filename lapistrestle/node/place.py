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
TENTHS = 10_000  # of a millisecond in a second
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


# Of the settings, which are the platform's, what a mistake could hide in: bounds only where a figure beyond
# them has no meaning. Unknown words pass over, as the module reads them.

Whole = Annotated[float, Meta(ge=0)]  # microseconds, counts and rates
Part = Annotated[float, Meta(ge=0, le=1)]


class Profile(Struct, rename="kebab"):
    name: Annotated[str, Meta(min_length=1)]
    deadline: Annotated[float, Meta(gt=0)]
    aim: Whole = 0
    repeat_window: Whole = 0
    idempotency: str = ""
    dedup_scope: str = ""


class Tenant(Struct, rename="kebab"):
    name: Annotated[str, Meta(min_length=1)]
    quota_rps: Whole = 0
    share: Whole = 0


class Own(Struct, rename="kebab"):
    """The settings' limits; the transport's own have the platform's usual figures where they are missing."""

    streams_per_conn: Annotated[int, Meta(ge=1)] = 32
    conn_idle: Annotated[int, Meta(ge=0)] = 15_000_000  # microseconds; 0: closed as soon as it is idle
    dial_timeout: Annotated[int, Meta(gt=0)] = 250_000
    max_open: Annotated[int, Meta(ge=1)] = 20_000
    try_limit: Annotated[float, Meta(ge=1)] = 1
    max_retry_after: Whole = 0
    cancel: bool = False
    may_probe: bool = False
    parallel_tries: bool = False
    retry_after: bool = False


class Rules(Struct, rename="kebab"):
    cold_from: Part = 1
    ramp_time: Whole = 0
    fall: Whole = 0
    fall_multiple: Whole = 1
    drain_grace: Whole = 0
    answer_slack: Whole = 0
    ask_within: Whole = 0


class Info(Struct, rename="kebab"):
    placement_calls: bool = False
    load_period: Whole = 0
    free_loads: Whole = 0
    load_share: Whole = 0
    idle_life: Whole = 0
    answer_within: Whole = 0
    when_absent: str = ""
    tells_warm: bool = False
    says_company: bool = False


class Reporting(Struct):
    names: list[str] = field(default_factory=list)


class Told(Struct, rename="kebab"):
    """As much of the settings as is checked; the module gets all of them."""

    profiles: Annotated[list[Profile], Meta(min_length=1)]
    tenants: list[Tenant] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    limits: Own = field(default_factory=Own)
    rules: Rules = field(default_factory=Rules)
    family_info: Info = field(default_factory=Info)
    reporting: Reporting = field(default_factory=Reporting)
    balancers: Whole = 1
    me: Whole = 0


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
    written: float | None = None  # when the file was, in seconds of the Unix clock; None: not known

    def age(self, now: float) -> int | None:
        """How old the file's list of workers is at a Unix time, in tenths of a millisecond; None where that
        is not known, as with a clock that was set back since."""
        if self.written is None or now < self.written:
            return None
        return int((now - self.written) * TENTHS)

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
        raw, written = Path(path).read_bytes(), Path(path).stat().st_mtime
    except OSError as trouble:
        raise Wrong(f"{path}: can't be read: {trouble.strerror}") from None
    place = parse(raw, path)
    place.written = written
    return place


def bare(settings: Any) -> Any:
    """Without what is null, which reads as missing."""
    if isinstance(settings, dict):
        return {name: bare(value) for name, value in settings.items() if value is not None}
    return [bare(value) for value in settings] if isinstance(settings, list) else settings


def facts(file: File, told: Told) -> Facts:
    """The settings in the module's words. Without a time to connect, or to wait for an order's answer, none
    would ever come: there the time is the platform's usual one, or the longest that a client waits."""
    longest = max(profile.deadline for profile in told.profiles)
    waits = {
        "dial_time_out": words.span(told.limits.dial_timeout),
        "order_time_out": words.span(int(told.family_info.answer_within or longest)),
    }
    return {**words.facts(file.settings), **waits}


def parse(raw: bytes, path: str) -> Place:
    try:
        file = msgspec.json.decode(raw, type=File)
        told = msgspec.convert(bare(file.settings), Told)
        return Place(file, told, facts(file, told))
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
