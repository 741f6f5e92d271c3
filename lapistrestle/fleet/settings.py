"""Settings of a dispatcher's part in its fleet. Durations are whole ticks of 0.1 ms."""

from dataclasses import dataclass

from lapistrestle.ticks import SECOND

Address = tuple[str, int]  # host and port


@dataclass(frozen=True)
class MembershipSettings:
    """When members are probed, suspected, synchronised and forgotten.

    The terms are SWIM's (Das, Gupta, Motivala, DSN 2002): one member is probed in each protocol period.
    """

    protocol_period: int = SECOND  # must be well over the longest round trip between two members
    ping_timeout: int = 3_000  # for an ack, before other members are asked to ping
    indirect_probes: int = 3  # members that are asked to ping (SWIM's k)
    suspicion_multiplier: int = 4  # shortest suspicion, in periods times log10 of the fleet's size
    reconnect_periods: int = 2  # between two pings of a dead member or seed, so that partitions heal
    sync_periods: int = 10  # between two requests for a page of another's member table
    retention: int = 600 * SECOND  # after which a member that is dead or left is forgotten
    seeds: tuple[Address, ...] = ()  # members through which the fleet is joined


@dataclass(frozen=True, kw_only=True)
class FleetSettings(MembershipSettings):
    """Membership, and where this member is reached."""

    fleet: str  # its name: datagrams of other fleets are rejected
    port: int  # on which this member listens
    advertised_port: int | None = None  # on which others reach it, if that is another
    host: str = "127.0.0.1"
