"""The life of one rollout: a table of state, input, next state and effect, read by a short loop."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from lapistrestle.rollout.evidence import Evidence, Verdict
from lapistrestle.rollout_types import CommandOutcome, TrafficSplit

RolloutState = Enum("RolloutState", "PROPOSED WARMING GROWING HELD SETTLED WITHDRAWING WITHDRAWN")


class RolloutInput(Enum):
    """What moves a rollout; the value is the form in histories and commands."""

    START = "start"
    ANNOUNCE_STEP = "tell"
    REPLICAS_READY = "warm"
    EVIDENCE_SUFFICIENT = "grow"
    HARM_FOUND = "bad"
    ADVANCE = "advance"
    HOLD = "hold"
    RESUME = "resume"
    ROLL_BACK = "back"
    RETENTION_ENDED = "forgotten"


MAX_WEIGHT_BEFORE_SETTLED = (
    0.9  # until it settles, a part stays behind as what it is judged by, and stays loaded
)
ANNOUNCEMENT_LEAD = 10_000  # tenths of a millisecond; the plan of an edge with a lease is no older


@dataclass
class Rollout:
    """One candidate of one function. `steps` are its shares in turn; the last is 1."""

    fn: str
    settled: str
    candidate: str
    steps: tuple[float, ...]
    retention: int  # for how long clients may come back from it
    state: RolloutState = RolloutState.PROPOSED
    step: int = -1  # in `steps`; -1: no share yet
    peak_weight: float = 0.0
    state_since: int = 0  # when this state began
    announced_at: int | None = None  # when edges were told that the next step comes
    advance_requested: bool = False  # it comes without evidence
    previous_retained: bool = False  # settled, and the version before it is still kept
    evidence: Evidence = field(default_factory=Evidence)
    # when, who, why, input and state
    history: list[tuple[int, str, str, str, str]] = field(default_factory=list)

    @property
    def weight(self) -> float:
        growing = self.state in (RolloutState.GROWING, RolloutState.HELD) and self.step >= 0
        part = min(self.steps[self.step], MAX_WEIGHT_BEFORE_SETTLED) if growing else 0.0
        return 1.0 if self.state is RolloutState.SETTLED else part

    @property
    def next_weight(self) -> float:
        """The share after this one; its copies come first."""
        last = self.step + 1 >= len(self.steps) or self.state is RolloutState.SETTLED
        return 1.0 if last else min(self.steps[self.step + 1], MAX_WEIGHT_BEFORE_SETTLED)

    def split(self) -> TrafficSplit:
        """What edges are told. The peak comes before its step, so that no edge with a lease takes a key for
        one that can't have met the candidate yet."""
        if self.state is RolloutState.SETTLED and not self.previous_retained:
            return TrafficSplit(self.fn, self.candidate)
        if self.state in (RolloutState.PROPOSED, RolloutState.WITHDRAWN):
            return TrafficSplit(self.fn, self.settled)
        back, done = self.state is RolloutState.WITHDRAWING, self.state is RolloutState.SETTLED
        peak = (
            self.peak_weight if back or self.announced_at is None else max(self.peak_weight, self.next_weight)
        )
        ahead = 0.0 if back else self.next_weight
        return TrafficSplit(
            self.fn, self.settled, self.candidate, self.weight, peak, back, self.step, ahead, done
        )

    def handle(self, given: RolloutInput, now: int, who: str = "planner", why: str = "") -> CommandOutcome:
        """An input; what came of it. What a state has no answer for is refused, what is so already is
        nothing."""
        if self.state in ALREADY.get(given, ()):
            return CommandOutcome.NOTHING_TO_DO
        after = TRANSITIONS.get((self.state, given))
        if after is None:
            return CommandOutcome.REFUSED
        before, (self.state, effect) = self.state, after
        effect(self)
        self.peak_weight = max(self.peak_weight, self.weight)
        if given is RolloutInput.ANNOUNCE_STEP:
            self.announced_at = now
            return CommandOutcome.DONE
        if self.state is not before:
            self.state_since = now
        self.history.append((now, who, why, given.value, self.state.name.lower()))
        return CommandOutcome.DONE

    def evaluate(self, now: int, replicas_ready: bool) -> Verdict:
        """Once in a while: what the evidence, the loads and the clock say. `replicas_ready`: the next
        step's copies stand."""
        verdict = self.evidence.verdict()
        given: RolloutInput | None = None
        why = ""
        if verdict.must_roll_back and (self.state, RolloutInput.HARM_FOUND) in TRANSITIONS:
            given, why = RolloutInput.HARM_FOUND, f"harm {verdict.log_harm:.1f}"
        elif self.state is RolloutState.WARMING and replicas_ready:
            given = RolloutInput.REPLICAS_READY
        elif self.state is RolloutState.GROWING and self.advance_requested:
            given, why = RolloutInput.EVIDENCE_SUFFICIENT, "advance"
        elif self.state is RolloutState.GROWING and verdict.may_advance and replicas_ready:
            given, why = RolloutInput.EVIDENCE_SUFFICIENT, f"good {verdict.log_safety:.1f}"
        elif (
            self.state is RolloutState.WITHDRAWING or self.previous_retained
        ) and now - self.state_since >= self.retention:
            given = RolloutInput.RETENTION_ENDED
        if given in STEPS and self.announced_at is None:
            given = RolloutInput.ANNOUNCE_STEP
        elif given in STEPS and self.announced_at is not None and now - self.announced_at < ANNOUNCEMENT_LEAD:
            given = None
        if given is not None:
            self.handle(given, now, why=why)
        return verdict

    # effects

    def nothing(self) -> None: ...

    def grow(self) -> None:
        """The next step is judged by itself, so that a fault that shows only at load can't hide behind the
        last."""
        self.evidence, self.announced_at, self.advance_requested = Evidence(), None, False
        if self.step + 1 < len(self.steps):
            self.step += 1
        else:
            self.state, self.previous_retained = RolloutState.SETTLED, True

    def hold(self) -> None:
        self.advance_requested = False

    def let_go(self) -> None:
        self.previous_retained = False

    def resume(self) -> None:
        """Held before its copies stood: they come first."""
        if self.step < 0:
            self.state = RolloutState.WARMING

    def advance(self) -> None:
        self.resume()
        self.advance_requested = self.state is RolloutState.GROWING

    def take_back(self) -> None:
        self.step, self.previous_retained, self.announced_at, self.advance_requested = -1, False, None, False


ALREADY: Mapping[RolloutInput, tuple[RolloutState, ...]] = {
    RolloutInput.HOLD: (RolloutState.HELD,),
    RolloutInput.ROLL_BACK: (RolloutState.WITHDRAWING, RolloutState.WITHDRAWN),
    RolloutInput.START: (RolloutState.WARMING, RolloutState.GROWING, RolloutState.SETTLED),
    RolloutInput.RESUME: (RolloutState.WARMING, RolloutState.GROWING),
}
STEPS = (RolloutInput.REPLICAS_READY, RolloutInput.EVIDENCE_SUFFICIENT)
_ = Rollout
Effect = Callable[[Rollout], None]
TRANSITIONS: dict[tuple[RolloutState, RolloutInput], tuple[RolloutState, Effect]] = {
    (RolloutState.PROPOSED, RolloutInput.START): (RolloutState.WARMING, _.nothing),
    (RolloutState.PROPOSED, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWN, _.take_back),
    (RolloutState.WARMING, RolloutInput.ANNOUNCE_STEP): (RolloutState.WARMING, _.nothing),
    (RolloutState.GROWING, RolloutInput.ANNOUNCE_STEP): (RolloutState.GROWING, _.nothing),
    (RolloutState.WARMING, RolloutInput.REPLICAS_READY): (RolloutState.GROWING, _.grow),
    (RolloutState.WARMING, RolloutInput.HOLD): (RolloutState.HELD, _.nothing),
    (RolloutState.WARMING, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, _.take_back),
    (RolloutState.GROWING, RolloutInput.EVIDENCE_SUFFICIENT): (RolloutState.GROWING, _.grow),
    (RolloutState.GROWING, RolloutInput.ADVANCE): (RolloutState.GROWING, _.advance),
    (RolloutState.GROWING, RolloutInput.HOLD): (RolloutState.HELD, _.hold),
    (RolloutState.GROWING, RolloutInput.HARM_FOUND): (RolloutState.WITHDRAWING, _.take_back),
    (RolloutState.GROWING, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, _.take_back),
    (RolloutState.HELD, RolloutInput.RESUME): (RolloutState.GROWING, _.resume),
    (RolloutState.HELD, RolloutInput.ADVANCE): (RolloutState.GROWING, _.advance),
    (RolloutState.HELD, RolloutInput.HARM_FOUND): (RolloutState.WITHDRAWING, _.take_back),
    (RolloutState.HELD, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, _.take_back),
    (RolloutState.SETTLED, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, _.take_back),
    (RolloutState.SETTLED, RolloutInput.RETENTION_ENDED): (RolloutState.SETTLED, _.let_go),
    (RolloutState.WITHDRAWING, RolloutInput.RETENTION_ENDED): (RolloutState.WITHDRAWN, _.nothing),
}
