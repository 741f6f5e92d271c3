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
from lapistrestle.ticks import SECOND

ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
Address = Annotated[str, Meta(pattern=f"^{ADDRESS.pattern}$")]


class ConfigurationError(Exception):
    """What can't be used; the text is meant for the person who started the program."""


class ProcessLimits(Struct):
    """What the process may use: cores, memory in MB, sockets."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 256


class RunnerEntry(Struct, kw_only=True):
    """A runner as the file's notices name it; `started_ms` is Unix time, 0: long ago."""

    id: Annotated[str, Meta(pattern=r"^s-[0-9a-f]{8}$")]
    address: Address = field(name="addr")
    zone: str
    kind: str
    cell: int
    state: str
    weight: float = 1.0
    started_ms: float = 0


class EndpointPool(Struct, kw_only=True):
    """Runners that a notice names; complete where it names them all."""

    is_complete: bool = field(name="full")
    runners: list[RunnerEntry] = field(name="servers")


class Notice(Struct, kw_only=True):
    """An event of the notice board that the file has already."""

    revision: Annotated[int, Meta(ge=0)] = field(name="rev")
    pool: EndpointPool


class KnownEndpoints(Struct):
    """The list of runners as it was when the file was written: events up to a revision."""

    revision: Annotated[int, Meta(ge=0)] = field(default=0, name="rev")
    notices: list[Notice] = field(default_factory=list)


# Of the settings, which are the platform's, what a mistake could hide in: bounds only where a figure beyond
# them has no meaning. Unknown words pass over, as the module reads them.

NonNegative = Annotated[float, Meta(ge=0)]  # microseconds, counts and rates
Fraction = Annotated[float, Meta(ge=0, le=1)]


class Profile(Struct, rename="kebab"):
    """A class of calls. Times are microseconds."""

    name: Annotated[str, Meta(min_length=1)]
    deadline: Annotated[float, Meta(gt=0)]
    latency_objective: NonNegative = field(default=0, name="aim")
    repeat_window: NonNegative = 0
    idempotency: str = ""
    dedup_scope: str = ""


class Tenant(Struct, rename="kebab"):
    """A customer, with its quota and share."""

    name: Annotated[str, Meta(min_length=1)]
    quota_rps: NonNegative = 0
    share: NonNegative = 0


class RequestLimits(Struct, rename="kebab"):
    """The settings' limits; the transport's own have the platform's usual figures where they are missing."""

    streams_per_conn: Annotated[int, Meta(ge=1)] = 32
    conn_idle: Annotated[int, Meta(ge=0)] = 15_000_000  # microseconds; 0: closed as soon as it is idle
    dial_timeout: Annotated[int, Meta(gt=0)] = 250_000
    max_open: Annotated[int, Meta(ge=1)] = 20_000
    try_limit: Annotated[float, Meta(ge=1)] = 1
    max_retry_after: NonNegative = 0
    cancel: bool = False
    may_probe: bool = False
    parallel_tries: bool = False
    retry_after: bool = False


class RuleSettings(Struct, rename="kebab"):
    """The rules' figures. Times are microseconds."""

    cold_from: Fraction = 1
    ramp_time: NonNegative = 0
    fall: NonNegative = 0
    fall_multiple: NonNegative = 1
    drain_grace: NonNegative = 0
    answer_slack: NonNegative = 0
    ask_within: NonNegative = 0


class FamilyInfo(Struct, rename="kebab"):
    """What the settings say of this family of deployments. Times are microseconds."""

    placement_calls: bool = False
    load_period: NonNegative = 0
    free_loads: NonNegative = 0
    load_share: NonNegative = 0
    idle_life: NonNegative = 0
    answer_within: NonNegative = 0
    when_absent: str = ""
    tells_warm: bool = False
    says_company: bool = False


class Reporting(Struct):
    """The names of the figures in load reports."""

    names: list[str] = field(default_factory=list)


class PlatformSettings(Struct, rename="kebab"):
    """As much of the settings as is checked; the module gets all of them."""

    profiles: Annotated[list[Profile], Meta(min_length=1)]
    tenants: list[Tenant] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    limits: RequestLimits = field(default_factory=RequestLimits)
    rules: RuleSettings = field(default_factory=RuleSettings)
    family_info: FamilyInfo = field(default_factory=FamilyInfo)
    reporting: Reporting = field(default_factory=Reporting)
    balancers: NonNegative = 1
    me: NonNegative = 0


class ConfigurationFile(Struct):
    """The file as it is written."""

    name: str
    listen: Address
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$")]
    settings: dict[str, Any]
    board: Address | None = None
    limits: ProcessLimits = field(default_factory=ProcessLimits)
    known: KnownEndpoints = field(default_factory=KnownEndpoints)


class Configuration(Struct):
    """One checked file."""

    file: ConfigurationFile
    platform: PlatformSettings  # as checked
    settings: Settings  # for the module
    written: float | None = None  # when the file was, in seconds of the Unix clock; None: not known

    def age(self, now: float) -> int | None:
        """How old the file's list of workers is at a Unix time, in tenths of a millisecond; None where that
        is not known, as with a clock that was set back since.
        """
        if self.written is None or now < self.written:
            return None
        return int((now - self.written) * SECOND)

    @property
    def report_names(self) -> dict[str, str]:
        """Names of the figures on the sockets to those that the module knows them by."""
        names = translation.settings_group(self.file.settings, "reporting").get("names") or []
        socket = {wire: said for said, wire in translation.REPORT_FIGURES.items()}
        return {socket.get(name, name): name for name in names} | {name: name for name in names}


def split_address(address: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_configuration(path: str | None) -> Configuration:
    """Raises ConfigurationError, which names the file, what is wrong and where."""
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set; it names the file of the configuration")
    try:
        # the time first: of a file replaced meanwhile the older one counts
        written = Path(path).stat().st_mtime
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path}: can't be read: {error.strerror}") from None
    configuration = parse_configuration(raw, path)
    configuration.written = written
    return configuration


def without_nulls(settings: Any) -> Any:
    """The settings without what is null, which reads as missing."""
    if isinstance(settings, dict):
        return {name: without_nulls(value) for name, value in settings.items() if value is not None}
    return [without_nulls(value) for value in settings] if isinstance(settings, list) else settings


def module_settings(file: ConfigurationFile, platform: PlatformSettings) -> Settings:
    """The settings as the module has them. Without a time to connect, or to wait for a preload's answer, none
    would ever come: there the time is the platform's usual one, or the longest that a client waits.
    """
    longest = max(profile.deadline for profile in platform.profiles)
    return replace(
        translation.to_settings(file.settings),
        connect_timeout=translation.to_ticks_floor(platform.limits.dial_timeout),
        preload_timeout=translation.to_ticks_floor(int(platform.family_info.answer_within or longest)),
    )


def parse_configuration(raw: bytes, path: str) -> Configuration:
    """The configuration of a file's content. Raises ConfigurationError."""
    try:
        file = msgspec.json.decode(raw, type=ConfigurationFile)
        platform = msgspec.convert(without_nulls(file.settings), PlatformSettings)
        return Configuration(file, platform, module_settings(file, platform))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise ConfigurationError(f"{path}: settings can't be used: {error}") from None


def configuration_from_environment(environ: Mapping[str, str]) -> Configuration:
    """As the file says that the environment names; where to listen and the name may stand there too. Raises
    ConfigurationError.
    """
    configuration = read_configuration(environ.get("EDGE_CONFIG"))
    listen = environ.get("EDGE_LISTEN", "")
    if listen and not ADDRESS.fullmatch(listen):
        raise ConfigurationError(
            f"EDGE_LISTEN is {listen!r}; expected an address and a port, such as 10.0.0.4:10080"
        )
    configuration.file.listen = listen or configuration.file.listen
    configuration.file.name = environ.get("EDGE_NAME") or configuration.file.name
    return configuration
