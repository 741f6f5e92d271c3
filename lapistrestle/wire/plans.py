"""Messages between the planner and edges, and between operators and the planner.

Protocol `lapistrestle.planner`; `docs/protocol.md` specifies it for other languages. Field names on the wire
are mapped here. Weights are fractions from 0 to 1.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, field

from lapistrestle.rollout_types import DEFAULT_STEPS, RolloutAction, TrafficSplit
from lapistrestle.wire.messages import Fault, Goodbye, Hello, Message, Name, Number

PLANNER = "lapistrestle.planner"

DEFAULT_RETENTION = 60_000.0
"""Milliseconds (one minute) for which clients may come back from a version."""

Weight = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]

Counts = tuple[Number, Number, Number, Number]
"""Requests of the settled version, bad ones of them, requests of the candidate, bad ones of them."""


class SplitMessage(Struct, omit_defaults=True, gc=False):
    """A `TrafficSplit` as it crosses the wire and as an edge persists it."""

    function: Name = field(name="fn")
    settled: str = ""
    candidate: str = ""
    weight: Weight = field(default=0.0, name="share")
    peak_weight: Weight = field(default=0.0, name="peak")
    withdrawn: bool = False
    step: int = -1
    next_weight: Weight = field(default=0.0, name="next")
    promoted: bool = field(default=False, name="done")


def to_message(split: TrafficSplit) -> SplitMessage:
    """Return a split as it crosses the wire."""
    return SplitMessage(
        function=split.function,
        settled=split.settled,
        candidate=split.candidate,
        weight=split.weight,
        peak_weight=split.peak_weight,
        withdrawn=split.withdrawn,
        step=split.step,
        next_weight=split.next_weight,
        promoted=split.promoted,
    )


def to_split(message: SplitMessage) -> TrafficSplit:
    """Return the split that a message stands for."""
    return TrafficSplit(
        function=message.function,
        settled=message.settled,
        candidate=message.candidate,
        weight=message.weight,
        peak_weight=message.peak_weight,
        withdrawn=message.withdrawn,
        step=message.step,
        next_weight=message.next_weight,
        promoted=message.promoted,
    )


class Plan(Message, tag="plan"):
    """Splits that changed since the number that the edge has; all of them where `complete`."""

    number: Number
    epoch: Number
    splits: list[SplitMessage] = field(name="shares")
    complete: bool = field(default=False, name="whole")


class Heartbeat(Message, tag="beat"):
    """An edge asks for its lease, with a moment of its own clock (ticks of 0.1 ms) and the plan it has.

    The planner answers with that moment.
    """

    sent_at: Annotated[int, Meta(ge=0)] = field(name="asked")
    plan_number: int = field(default=-1, name="has")


class OutcomeReport(Message, tag="counts"):
    """An edge's running counts of a minute of its own clock."""

    function: Name = field(name="fn")
    candidate: Name
    step: int
    minute: int
    counts: Counts


class ReplicaReport(Message, tag="warm"):
    """The weight that the replicas of both versions are loaded for, as far as this edge can tell.

    Sent each second; `shortage` says what is missing for more.
    """

    function: Name = field(name="fn")
    candidate: Name
    weight: Weight = field(default=0.0, name="share")
    shortage: str = field(default="", name="lacks")


class RolloutCommand(Message, tag="order"):
    """An operator's command; one `id` is answered once and for all. `retention` is in milliseconds."""

    id: Name
    action: RolloutAction = field(name="what")
    function: Name = field(name="fn")
    operator: Name = field(name="who")
    reason: str = field(default="", name="why")
    candidate: str = ""
    steps: tuple[float, ...] = DEFAULT_STEPS
    retention: Milliseconds = field(default=DEFAULT_RETENTION, name="remembered")


class CommandReply(Message, tag="reply"):
    """What a command came to; it is on disk when this is sent.

    `outcome` is the value of a `CommandOutcome`, `number` the plan that has it, and `edges_behind` those
    that do not go by that plan yet. A newer planner may name an outcome that this reader does not know.
    """

    id: Name
    outcome: str
    message: str = field(name="says")
    state: str
    weight: float = field(name="share")
    number: Number
    edges_behind: list[str] = field(default_factory=list, name="behind")


class StatusRequest(Message, tag="ask"):
    """An operator asks how things stand."""


class HistoryLine(NamedTuple):
    """What moved a rollout: when (ms of the planner's clock), who, why, which input, and the state after."""

    at: float
    actor: str
    reason: str
    input: str
    state: str


class RolloutStatus(Struct):
    """How one rollout stands.

    `log_harm` and `log_safety` are the logarithms of the two tests; `shortages` says by edge what it lacks
    for `next_weight`.
    """

    function: str = field(name="fn")
    settled: str
    candidate: str
    state: str
    weight: float = field(name="share")
    step: int
    counts: tuple[int, int, int, int]
    log_harm: float = field(name="harm")
    log_safety: float = field(name="good")
    history: list[HistoryLine]
    next_weight: float = field(default=0.0, name="next")
    shortages: dict[str, str] = field(default_factory=dict, name="waits")


class PlannerStatus(Message, tag="status"):
    """How all rollouts stand; `plan_by_edge` is the number of the plan that each edge has."""

    number: Number
    epoch: Number
    rollouts: list[RolloutStatus]
    plan_by_edge: dict[str, int] = field(name="edges")


FromPlanner = Hello | Plan | Heartbeat | CommandReply | PlannerStatus | Fault | Goodbye
ToPlanner = Hello | Heartbeat | OutcomeReport | ReplicaReport | RolloutCommand | StatusRequest | Goodbye
