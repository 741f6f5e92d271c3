"""Messages between the planner and edges, and between operators and the planner.

Protocol `lapistrestle.planner`, specified for other languages in `docs/protocol.md`. Field names on the wire
are mapped by `name=`. Weights are fractions from 0 to 1.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, field

from lapistrestle.rollout_types import DEFAULT_STEPS, RolloutAction, TrafficSplit
from lapistrestle.wire.messages import Fault, Goodbye, Hello, Message, Name, Number

PLANNER = "lapistrestle.planner"

DEFAULT_RETENTION = 60_000.0
"""Milliseconds (one minute) for which clients may still retry requests that they sent to a version."""

Weight = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]

Counts = tuple[Number, Number, Number, Number]
"""Requests of the settled version, failed ones of them, requests of the candidate, failed ones of them."""


class SplitMessage(Struct, omit_defaults=True, gc=False):
    """A `TrafficSplit` as it is sent, and as an edge persists it."""

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
    """Convert a split to its message."""
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
    """Convert a message to its split."""
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
    """The splits that changed since the plan that the edge has; all splits if `complete`."""

    number: Number
    epoch: Number
    splits: list[SplitMessage] = field(name="shares")
    complete: bool = field(default=False, name="whole")


class Heartbeat(Message, tag="beat"):
    """An edge's request to renew its lease, answered by the planner with the same `sent_at`.

    `sent_at` is the edge's clock in ticks of 0.1 ms, `plan_number` the plan that it has applied.
    """

    sent_at: Annotated[int, Meta(ge=0)] = field(name="asked")
    plan_number: int = field(default=-1, name="has")


class OutcomeReport(Message, tag="counts"):
    """An edge's cumulative request counts for one minute of its own clock."""

    function: Name = field(name="fn")
    candidate: Name
    step: int
    minute: int
    counts: Counts


class ReplicaReport(Message, tag="warm"):
    """The weight for which an edge has enough replicas of both versions loaded, sent each second.

    `shortage` says what prevents a greater weight.
    """

    function: Name = field(name="fn")
    candidate: Name
    weight: Weight = field(default=0.0, name="share")
    shortage: str = field(default="", name="lacks")


class RolloutCommand(Message, tag="order"):
    """An operator's command; a repeated `id` gets the first answer again. `retention` is in milliseconds."""

    id: Name
    action: RolloutAction = field(name="what")
    function: Name = field(name="fn")
    operator: Name = field(name="who")
    reason: str = field(default="", name="why")
    candidate: str = ""
    steps: tuple[float, ...] = DEFAULT_STEPS
    retention: Milliseconds = field(default=DEFAULT_RETENTION, name="remembered")


class CommandReply(Message, tag="reply"):
    """The result of a command, sent once the command is on disk.

    `outcome` is the value of a `CommandOutcome`, `number` the first plan that includes it, and `edges_behind`
    the edges that have not applied that plan yet. A newer planner may send outcomes unknown to this version.
    """

    id: Name
    outcome: str
    message: str = field(name="says")
    state: str
    weight: float = field(name="share")
    number: Number
    edges_behind: list[str] = field(default_factory=list, name="behind")


class StatusRequest(Message, tag="ask"):
    """An operator's request for the status of all rollouts."""


class HistoryLine(NamedTuple):
    """One transition of a rollout: time (ms of the planner's clock), actor, reason, input and next state."""

    at: float
    actor: str
    reason: str
    input: str
    state: str


class RolloutStatus(Struct):
    """The status of one rollout.

    `log_harm` and `log_safety` are the logarithms of the two test statistics; `shortages` says, by edge, what
    it lacks for `next_weight`.
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
    """The status of all rollouts; `plan_by_edge` is the number of the plan that each edge has applied."""

    number: Number
    epoch: Number
    rollouts: list[RolloutStatus]
    plan_by_edge: dict[str, int] = field(name="edges")


FromPlanner = Hello | Plan | Heartbeat | CommandReply | PlannerStatus | Fault | Goodbye
ToPlanner = Hello | Heartbeat | OutcomeReport | ReplicaReport | RolloutCommand | StatusRequest | Goodbye
