"""Settings of the decision module.

Durations are in ticks (see `lapistrestle.ticks`), memory in MB, rates per second. `deployment.translation`
makes `Settings` from the settings that the platform passes, `deployment.load` from a deployment file.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class MethodKind(StrEnum):
    """Whether a request of the method may run more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "tokened"  # workers drop a repeated idempotency key, within a scope and a window
    AT_MOST_ONCE = "side-effecting"


@dataclass(frozen=True)
class MethodSettings:
    """Settings of one method."""

    kind: MethodKind = MethodKind.AT_MOST_ONCE
    dedup_scope: str = "cell"  # workers that share idempotency keys: "all", of one "zone" or "cell"
    dedup_window: int = 0  # ticks after the first attempt within which a repeat is dropped
    soft_deadline: int = 0  # latency objective, in ticks
    soft_stretch: float = 0.0  # ticks added to the latency objective for each tick of hinted work
    deadline: int = 0  # longest time that a client waits, in ticks
    gain: float = 1.0  # priority weight of an answer within the latency objective
    late_gain: float = 0.0  # priority weight of a later answer
    streamed: bool = False  # answers may be streamed


@dataclass(frozen=True)
class CustomerSettings:
    """Quota and fair share of one customer."""

    quota: float = 0.0  # requests per second over all dispatchers; 0: no quota
    share: float = 0.0  # fair share of the traffic, from 0 to 1


@dataclass(frozen=True)
class Settings:
    """Settings of a deployment that the module and its hosts read."""

    instance_index: int = 0  # of this dispatcher, from 0
    zone: int = 0  # availability zone of this dispatcher
    dispatcher_count: int = 1
    methods: tuple[MethodSettings, ...] = ()
    customers: tuple[CustomerSettings, ...] = ()
    over_share_gain: float = 1.0  # factor on the gain of answers beyond a customer's fair share
    gain_by_work: bool = False  # gains are weighted by hinted work, not by request
    size_is_live: bool = False  # the listed size of a worker follows its load, so orders ignore it
    endpoints_polled: bool = False  # a subscription to the endpoint list expires and must be renewed
    poll_within: int = 0  # ticks until the subscription expires
    report_inline: bool = False  # answers carry load reports
    report_probed: bool = False  # answers to health checks carry load reports
    may_cancel: bool = False
    may_health_check: bool = False
    may_parallel: bool = False  # several attempts of one request may be in flight
    may_gossip: bool = False
    may_preload: bool = False
    may_retry_after: bool = False  # a rejection may carry a retry delay
    max_retry_after: int = 0  # ticks
    attempt_limit: int = 1  # attempts per request
    connect_timeout: int = 0  # ticks
    answer_slack: int = 0  # ticks after a deadline within which the final answer must be sent
    drain_grace: int = 0  # ticks for which a draining worker still answers
    slow_start_share: float = 1.0  # fraction of its capacity that a worker has at its start
    slow_start_duration: int = 0  # ticks until it has full capacity; 0: at once
    overload_window: int = 0  # ticks over which the load of a worker in slow start is summed
    overload_factor: float = 1.0  # multiple of its current capacity above which a worker in slow start fails
    reports_not_loaded: bool = False  # workers reject requests whose function is not loaded
    preload_window: int = 0  # ticks over which preloads are counted; 0: unlimited
    preload_delay: int = 0  # ticks that a preload may be delayed by the transport
    preload_free: float = 0.0  # preloads per window regardless of requests
    preload_share: float = 0.0  # additional preloads per request in the window
    preload_timeout: int = 0  # ticks
    idle_timeout: int = 0  # ticks after which a worker unloads an unused copy
    idle_memory_price: float = 0.0
    memory_by_kind: tuple[float, ...] = ()  # MB of a worker, by its kind; 0: unknown
    reports_warmth: bool = False  # answers report whether the function was loaded
    reports_concurrency: bool = False  # answers report how many requests of the function the worker had
    memory_limit: int = 0  # bytes that the process of the dispatcher may use; 0: unknown
    goal: Mapping[str, float] = field(default_factory=dict)  # weights of the deployment's score, by name
    prices: Mapping[str, float] = field(default_factory=dict)  # of resources, by name
