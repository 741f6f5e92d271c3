"""Messages between the planner and edges, and between operators and the planner; protocol
`lapistrestle.planner`."""

from typing import Annotated

from msgspec import Meta, Struct, field

from lapistrestle.rollout_types import DEFAULT_STEPS, RolloutAction, TrafficSplit
from lapistrestle.wire.messages import Bye, Fault, Hello, Message, Name, Number

PLANNER = "lapistrestle.planner"


class SplitMessage(Struct, omit_defaults=True, gc=False):
    """One function's versions: this share of the keys goes to the candidate, the rest to the settled one.

    `peak`: keys below it may have met the candidate; `next`: the share to load copies for; `done`: the
    candidate is what runs, and the version before it is still kept.
    """

    fn: Name
    settled: str = ""
    candidate: str = ""
    weight: Annotated[float, Meta(ge=0, le=1)] = field(default=0.0, name="share")
    peak_weight: Annotated[float, Meta(ge=0, le=1)] = field(default=0.0, name="peak")
    withdrawn: bool = False
    step: int = -1
    next_weight: Annotated[float, Meta(ge=0, le=1)] = field(default=0.0, name="next")
    promoted: bool = field(default=False, name="done")


def to_message(split: TrafficSplit) -> SplitMessage:
    """A split as it crosses the wire: the same names."""
    return SplitMessage(
        fn=split.fn,
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
    return TrafficSplit(
        fn=message.fn,
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
    """Shares that changed since the number that the edge has; all of them where `whole`."""

    number: Number
    epoch: Number
    splits: list[SplitMessage] = field(name="shares")
    complete: bool = field(default=False, name="whole")


class Heartbeat(Message, tag="beat"):
    """An edge asks, with a moment of its own clock and the plan it has; the planner answers with that
    moment."""

    sent_at: Annotated[int, Meta(ge=0)] = field(name="asked")
    plan_number: int = field(default=-1, name="has")


class OutcomeReport(Message, tag="counts"):
    """An edge's running counts of a minute: settled, bad of them, candidate, bad of them."""

    fn: Name
    candidate: Name
    step: int
    minute: int
    counts: tuple[Number, Number, Number, Number]


class ReplicaReport(Message, tag="warm"):
    """The share that the copies of both versions stand for as far as this edge can tell, and what is missing
    for more; each second."""

    fn: Name
    candidate: Name
    weight: Annotated[float, Meta(ge=0, le=1)] = field(default=0.0, name="share")
    shortage: str = field(default="", name="lacks")


class RolloutCommand(Message, tag="order"):
    """An operator's command; one `id` is answered once and for all."""

    id: Name
    action: RolloutAction = field(name="what")
    fn: Name
    operator: Name = field(name="who")
    reason: str = field(default="", name="why")
    candidate: str = ""
    steps: tuple[float, ...] = DEFAULT_STEPS
    retention: Annotated[float, Meta(ge=0, le=86_400_000)] = field(default=60_000.0, name="remembered")


class CommandReply(Message, tag="reply"):
    """What an order came to; it is on disk when this is said. `behind`: edges that do not go by it yet."""

    id: Name
    outcome: str
    message: str = field(name="says")
    state: str
    weight: float = field(name="share")
    number: Number
    edges_behind: list[str] = field(default_factory=list, name="behind")


class StatusRequest(Message, tag="ask"):
    """An operator asks how things stand."""


class RolloutStatus(Struct):
    fn: str
    settled: str
    candidate: str
    state: str
    weight: float = field(name="share")
    step: int
    counts: tuple[int, int, int, int]
    log_harm: float = field(name="harm")
    log_safety: float = field(name="good")
    history: list[tuple[float, str, str, str, str]]  # ms, who, why, input, state
    next_weight: float = field(default=0.0, name="next")
    shortages: dict[str, str] = field(
        default_factory=dict, name="waits"
    )  # edges without copies for the next share, and why


class PlannerStatus(Message, tag="status"):
    number: Number
    epoch: Number
    rollouts: list[RolloutStatus]
    plan_by_edge: dict[str, int] = field(name="edges")  # the plan that each edge has


FromPlanner = Hello | Plan | Heartbeat | CommandReply | PlannerStatus | Fault | Bye
ToPlanner = Hello | Heartbeat | OutcomeReport | ReplicaReport | RolloutCommand | StatusRequest | Bye
