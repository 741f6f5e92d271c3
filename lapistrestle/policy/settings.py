"""The decision module's settings, made once from the platform's names or a deployment file.

Durations are ticks (see `policy.ticks`), sizes of memory MB, rates per second. `deployment.translation` makes
`Settings` from the platform's handed settings, `deployment.load` from a deployment file.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class MethodKind(StrEnum):
    """What a further run of the same request may do."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "tokened"  # workers drop a repeat of an idempotency key, within a scope and a window
    AT_MOST_ONCE = "side-effecting"


@dataclass(frozen=True)
class MethodSettings:
    """What holds for all requests of one method."""

    kind: MethodKind = MethodKind.AT_MOST_ONCE
    dedup_scope: str = "cell"  # which workers drop a repeat: those of "all", of one "zone" or of one "cell"
    dedup_window: int = 0  # ticks after the first attempt within which a repeat is dropped
    soft_deadline: int = 0  # latency objective, in ticks
    soft_stretch: float = 0.0  # ticks added to the latency objective for each tick of hinted work
    deadline: int = 0  # how long a client waits at the most, in ticks
    gain: float = 1.0  # priority weight of an answer within the latency objective
    late_gain: float = 0.0  # the same after it
    streamed: bool = False  # its answers may be streamed


@dataclass(frozen=True)
class CustomerSettings:
    """What one customer has a right to."""

    quota: float = 0.0  # requests a second at all dispatchers together; 0: no quota
    share: float = 0.0  # of the traffic, from 0 to 1


@dataclass(frozen=True)
class Settings:
    """Everything that the module and its hosts read of a deployment."""

    instance_index: int = 0  # of this dispatcher, from 0
    zone: int = 0  # of this dispatcher
    dispatcher_count: int = 1
    methods: tuple[MethodSettings, ...] = ()
    customers: tuple[CustomerSettings, ...] = ()
    over_share_gain: float = 1.0  # factor on the gain of answers beyond a customer's share
    gain_by_work: bool = False  # gains count by hinted work, not by request
    size_is_live: bool = False  # a worker's listed size follows its load, so it says nothing of the order
    endpoints_polled: bool = False  # the endpoint list is watched for a limited time and asked for anew
    poll_within: int = 0  # ticks within which the list must be asked for again
    report_inline: bool = False  # answers carry load reports
    report_probed: bool = False  # answers to health checks carry load reports
    may_cancel: bool = False
    may_health_check: bool = False
    may_parallel: bool = False  # two attempts of a request may be under way at once
    may_gossip: bool = False
    may_preload: bool = False
    may_retry_after: bool = False  # a rejection may tell the client when to come back
    max_retry_after: int = 0  # ticks
    attempt_limit: int = 1  # for each request
    connect_timeout: int = 0  # ticks
    answer_slack: int = 0  # ticks after a deadline within which the final answer must be out
    drain_grace: int = 0  # ticks that a draining worker still answers
    slow_start_share: float = 1.0  # of its capacity that a worker has as it starts
    slow_start_duration: int = 0  # ticks until it has all of it; 0: at once
    overload_window: int = 0  # ticks over which the load of a worker in slow start is counted
    overload_factor: float = 1.0  # of its capacity then, beyond which a worker in slow start falls over
    reports_not_loaded: bool = False  # a worker refuses a request whose function is not loaded, and says so
    preload_window: int = 0  # ticks over which preloads are counted; 0: no budget
    preload_delay: int = 0  # ticks that the transport may let a preload wait
    preload_free: float = 0.0  # preloads in a window that need no requests
    preload_share: float = 0.0  # further preloads for each request in the window
    preload_timeout: int = 0  # ticks
    idle_timeout: int = 0  # ticks after which a worker unloads a copy that is not used
    idle_memory_price: float = 0.0
    memory_by_kind: tuple[float, ...] = ()  # MB of a worker, by its kind; 0: not known
    reports_warmth: bool = False  # answers tell whether the function was loaded
    reports_concurrency: bool = False  # answers tell how many requests of the function were there
    goal: Mapping[str, float] = field(default_factory=dict)  # weights of the deployment's score, by name
    prices: Mapping[str, float] = field(default_factory=dict)  # of what costs, by name
