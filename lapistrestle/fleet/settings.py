"""Settings of a dispatcher's fleet membership. Durations are whole ticks of 0.1 ms."""

from dataclasses import dataclass

from lapistrestle.ticks import SECOND

Address = tuple[str, int]  # host and port


@dataclass(frozen=True)
class MembershipSettings:
    """When members are probed, suspected, synchronised and forgotten.

    The terms are SWIM's (Das, Gupta, Motivala, DSN 2002): one member is probed in each protocol period.
    """

    protocol_period: int = SECOND  # must be well above the longest round trip between two members
    ping_timeout: int = 3_000  # for an ack, before indirect probes
    indirect_probes: int = 3  # members asked to ping the target (SWIM's k)
    suspicion_multiplier: int = 4  # shortest suspicion, in periods times log10 of the fleet's size
    reconnect_periods: int = 2  # between two pings of a dead member or seed, so that partitions heal
    sync_periods: int = 10  # between two requests for a page of a member table
    retention: int = 600 * SECOND  # after which a dead or left member is removed
    seeds: tuple[Address, ...] = ()  # members through which the fleet is joined


@dataclass(frozen=True, kw_only=True)
class FleetSettings(MembershipSettings):
    """Membership settings, and this member's addresses."""

    fleet: str  # name; datagrams of other fleets are rejected
    port: int  # on which this member listens
    advertised_port: int | None = None  # on which others reach it, if different
    host: str = "127.0.0.1"
