"""Settings of a dispatcher's part in its fleet. Spans are whole tenths of a millisecond."""

from dataclasses import dataclass

SECOND = 10_000

Address = tuple[str, int]  # host and port


@dataclass(frozen=True)
class MembershipSettings:
    """When members are probed, suspected, synchronised and forgotten."""

    protocol_period: int = (
        SECOND  # between two probes; the longest delay between two members must be well under it
    )
    ping_timeout: int = 3_000  # for the answer to a ping, before others are asked to ping
    indirect_probes: int = 3  # others that are asked
    suspicion_multiplier: int = (
        4  # periods, times the logarithm of the size, before a suspect is dead at the least
    )
    reconnect_periods: int = (
        2  # periods between two words to one that is not there, so that a partition heals
    )
    sync_periods: int = 10  # periods between two requests for a page of another's table
    retention: int = 600 * SECOND  # after which one that is dead or left is no longer known
    seeds: tuple[Address, ...] = ()  # through which a fleet is joined


@dataclass(frozen=True, kw_only=True)
class FleetSettings(MembershipSettings):
    """Membership, and where this member is reached."""

    fleet: str  # its name: datagrams of other fleets are refused
    port: int  # where this one listens
    advertised_port: int | None = None  # where others reach it, if that is another
    host: str = "127.0.0.1"
