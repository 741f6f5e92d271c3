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
    """A configuration that can't be used. The text is for the person who started the program."""


class ProcessLimits(Struct):
    """Resources that the process may use: cores, memory in MB, sockets."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 256


class RunnerEntry(Struct, kw_only=True):
    """A runner in the file's notices. `started_ms` is Unix time in milliseconds, 0: long ago."""

    id: Annotated[str, Meta(pattern=r"^s-[0-9a-f]{8}$")]
    address: Address = field(name="addr")
    zone: str
    kind: str
    cell: int
    state: str
    weight: float = 1.0
    started_ms: float = 0


class EndpointPool(Struct, kw_only=True):
    """The runners of a notice: the complete list, or those that changed."""

    is_complete: bool = field(name="full")
    runners: list[RunnerEntry] = field(name="servers")


class Notice(Struct, kw_only=True):
    """An event of the notice board, as contained in the file."""

    revision: Annotated[int, Meta(ge=0)] = field(name="rev")
    pool: EndpointPool


class KnownEndpoints(Struct):
    """The list of runners at the time the file was written: the events up to a revision."""

    revision: Annotated[int, Meta(ge=0)] = field(default=0, name="rev")
    notices: list[Notice] = field(default_factory=list)


# The part of the platform's settings that is validated: values outside these bounds have no meaning. Unknown
# keys and words are ignored here, as they are when the settings are translated for the module.

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
    """The settings' limits. Those of the transport default to the platform's usual values."""

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
    """Parameters of the platform's rules. Times are microseconds."""

    cold_from: Fraction = 1
    ramp_time: NonNegative = 0
    fall: NonNegative = 0
    fall_multiple: NonNegative = 1
    drain_grace: NonNegative = 0
    answer_slack: NonNegative = 0
    ask_within: NonNegative = 0


class FamilyInfo(Struct, rename="kebab"):
    """Settings of this family of deployments. Times are microseconds."""

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
    """The names of the values in load reports."""

    names: list[str] = field(default_factory=list)


class PlatformSettings(Struct, rename="kebab"):
    """The validated part of the settings; the module gets the whole."""

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
    """The content of the file."""

    name: str
    listen: Address
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$")]
    settings: dict[str, Any]
    board: Address | None = None
    limits: ProcessLimits = field(default_factory=ProcessLimits)
    known: KnownEndpoints = field(default_factory=KnownEndpoints)


class Configuration(Struct):
    """One validated file."""

    file: ConfigurationFile
    platform: PlatformSettings  # the validated part of the settings
    settings: Settings  # for the module
    written: float | None = None  # Unix time at which the file was written, in seconds; None: unknown

    def age(self, now: float) -> int | None:
        """The age of the file's list of workers at a Unix time, in ticks of 0.1 ms.

        None where it is unknown, also if the clock was set back since.
        """
        if self.written is None or now < self.written:
            return None
        return int((now - self.written) * SECOND)

    @property
    def report_names(self) -> dict[str, str]:
        """Names of load report values on the wire, mapped to the module's names."""
        names = translation.settings_group(self.file.settings, "reporting").get("names") or []
        module_names = {wire_name: name for name, wire_name in translation.REPORT_FIGURES.items()}
        return {module_names.get(name, name): name for name in names} | {name: name for name in names}


def split_address(address: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_configuration(path: str | None) -> Configuration:
    """Read and validate a file. Raises ConfigurationError, which names the file and the fault."""
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set; it names the file of the configuration")
    try:
        # before reading: if the file is replaced meanwhile, its age must not be underestimated
        written = Path(path).stat().st_mtime
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path}: can't be read: {error.strerror}") from None
    configuration = parse_configuration(raw, path)
    configuration.written = written
    return configuration


def without_nulls(settings: Any) -> Any:
    """The settings without null values, which count as missing."""
    if isinstance(settings, dict):
        return {name: without_nulls(value) for name, value in settings.items() if value is not None}
    return [without_nulls(value) for value in settings] if isinstance(settings, list) else settings


def module_settings(file: ConfigurationFile, platform: PlatformSettings) -> Settings:
    """The settings for the module.

    A connect timeout or preload timeout of 0 would let no connection or preload succeed. It is replaced by
    the platform's usual connect timeout, or by the longest deadline of a client.
    """
    longest = max(profile.deadline for profile in platform.profiles)
    return replace(
        translation.to_settings(file.settings),
        connect_timeout=translation.to_ticks_floor(platform.limits.dial_timeout),
        preload_timeout=translation.to_ticks_floor(int(platform.family_info.answer_within or longest)),
    )


def parse_configuration(raw: bytes, path: str) -> Configuration:
    """Parse and validate a file's content. Raises ConfigurationError."""
    try:
        file = msgspec.json.decode(raw, type=ConfigurationFile)
        platform = msgspec.convert(without_nulls(file.settings), PlatformSettings)
        return Configuration(file, platform, module_settings(file, platform))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise ConfigurationError(f"{path}: settings can't be used: {error}") from None


def configuration_from_environment(environ: Mapping[str, str]) -> Configuration:
    """The configuration from the file that EDGE_CONFIG names.

    EDGE_LISTEN and EDGE_NAME override its address and name. Raises ConfigurationError.
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
