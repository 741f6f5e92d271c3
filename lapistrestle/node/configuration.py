"""The configuration of one dispatcher: the file that EDGE_CONFIG names, checked."""

import re
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from lapistrestle.deployment import translation
from lapistrestle.policy.settings import Settings

ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
TENTHS = 10_000  # of a millisecond in a second
Address = Annotated[str, Meta(pattern=f"^{ADDRESS.pattern}$")]


class ConfigurationError(Exception):
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


class LimitSettings(Struct, rename="kebab"):
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


class PlatformSettings(Struct, rename="kebab"):
    """As much of the settings as is checked; the module gets all of them."""

    profiles: Annotated[list[Profile], Meta(min_length=1)]
    tenants: list[Tenant] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    limits: LimitSettings = field(default_factory=LimitSettings)
    rules: Rules = field(default_factory=Rules)
    family_info: Info = field(default_factory=Info)
    reporting: Reporting = field(default_factory=Reporting)
    balancers: Whole = 1
    me: Whole = 0


class ConfigurationFile(Struct):
    name: str
    listen: Address
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$")]
    settings: dict[str, Any]
    board: Address | None = None
    limits: Limits = field(default_factory=Limits)
    known: Known = field(default_factory=Known)


class Configuration(Struct):
    """One checked file."""

    file: ConfigurationFile
    platform: PlatformSettings  # as checked
    settings: Settings  # for the module
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
        names = translation.part(self.file.settings, "reporting").get("names") or []
        socket = {wire: said for said, wire in translation.SAID.items()}
        return {socket.get(name, name): name for name in names} | {name: name for name in names}


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def read(path: str | None) -> Configuration:
    """Raises ConfigurationError, which names the file, what is wrong and where."""
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set; it names the file of the configuration")
    try:
        written = Path(path).stat().st_mtime  # first: of a file replaced meanwhile the older time counts
        raw = Path(path).read_bytes()
    except OSError as trouble:
        raise ConfigurationError(f"{path}: can't be read: {trouble.strerror}") from None
    configuration = parse(raw, path)
    configuration.written = written
    return configuration


def without_nulls(settings: Any) -> Any:
    """Without what is null, which reads as missing."""
    if isinstance(settings, dict):
        return {name: without_nulls(value) for name, value in settings.items() if value is not None}
    return [without_nulls(value) for value in settings] if isinstance(settings, list) else settings


def module_settings(file: ConfigurationFile, settings: PlatformSettings) -> Settings:
    """The settings in the module's words. Without a time to connect, or to wait for an order's answer, none
    would ever come: there the time is the platform's usual one, or the longest that a client waits."""
    longest = max(profile.deadline for profile in settings.profiles)
    return replace(
        translation.to_settings(file.settings),
        connect_timeout=translation.span(settings.limits.dial_timeout),
        preload_timeout=translation.span(int(settings.family_info.answer_within or longest)),
    )


def parse(raw: bytes, path: str) -> Configuration:
    try:
        file = msgspec.json.decode(raw, type=ConfigurationFile)
        settings = msgspec.convert(without_nulls(file.settings), PlatformSettings)
        return Configuration(file, settings, module_settings(file, settings))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise ConfigurationError(f"{path}: {trouble}") from None
    except (TypeError, ValueError, AttributeError, KeyError) as trouble:
        raise ConfigurationError(f"{path}: settings can't be used: {trouble}") from None


def configuration_of(environ: Mapping[str, str]) -> Configuration:
    """As the file says that the environment names; where to listen and the name may stand there too. Raises
    ConfigurationError."""
    configuration, listen = read(environ.get("EDGE_CONFIG")), environ.get("EDGE_LISTEN", "")
    if listen and not ADDRESS.fullmatch(listen):
        raise ConfigurationError(
            f"EDGE_LISTEN is {listen!r}; expected an address and a port, such as 10.0.0.4:10080"
        )
    configuration.file.listen = listen or configuration.file.listen
    configuration.file.name = environ.get("EDGE_NAME") or configuration.file.name
    return configuration
