"""The state machine of one rollout: a table of transitions with their effects.

Times are ticks of 0.1 ms on the planner's clock; weights are fractions from 0 to 1.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lapistrestle.rollout.evidence import Evidence, Verdict
from lapistrestle.rollout_types import CommandOutcome, TrafficSplit

MAX_UNSETTLED_WEIGHT = 0.9
"""The settled version keeps the rest until the candidate settles, as control group, and so stays loaded."""

ANNOUNCEMENT_LEAD = 10_000
"""Ticks between the announcement of a step and the step; the plan of an edge with a lease is never older."""

NO_STEP = -1
"""The step index of a rollout whose candidate has no weight yet."""


class RolloutState(Enum):
    """The state of a rollout; the value is the form on the wire."""

    PROPOSED = "proposed"
    WARMING = "warming"  # replicas are being loaded; the candidate gets no traffic yet
    GROWING = "growing"  # the weight grows by evidence
    HELD = "held"  # paused by an operator
    SETTLED = "settled"  # the candidate gets all traffic
    WITHDRAWING = "withdrawing"  # the candidate gets no new requests; clients may still retry earlier ones
    WITHDRAWN = "withdrawn"


class RolloutInput(Enum):
    """An input of the state machine; the value is the form in histories and commands."""

    START = "start"
    ANNOUNCE_STEP = "tell"  # announce the next step to the edges
    REPLICAS_READY = "warm"
    EVIDENCE_SUFFICIENT = "grow"
    HARM_FOUND = "bad"
    ADVANCE = "advance"
    HOLD = "hold"
    RESUME = "resume"
    ROLL_BACK = "back"
    RETENTION_ENDED = "forgotten"


FINAL_STATES = (RolloutState.SETTLED, RolloutState.WITHDRAWN)
"""States in which another rollout of the function may start."""


class HistoryEntry(NamedTuple):
    """One transition of a rollout: time, actor, reason, input and the next state."""

    at: int
    actor: str
    reason: str
    input: RolloutInput
    state: RolloutState


@dataclass
class Rollout:
    """The rollout of one candidate of one function.

    `steps` are its successive weights, the last of which is 1; `step` is the index of the current one.
    `retention` is the time in ticks for which clients may retry requests on a version. `announced_at` is when
    the next step was announced to the edges; `advance_requested`: it is taken without evidence.
    `previous_retained`: the candidate has settled, and the previous version is still loaded.
    """

    function: str
    settled: str
    candidate: str
    steps: tuple[float, ...]
    retention: int
    state: RolloutState = RolloutState.PROPOSED
    step: int = NO_STEP
    peak_weight: float = 0.0
    state_since: int = 0
    announced_at: int | None = None
    advance_requested: bool = False
    previous_retained: bool = False
    evidence: Evidence = field(default_factory=Evidence)
    history: list[HistoryEntry] = field(default_factory=list)

    @property
    def weight(self) -> float:
        """The fraction of the keys that is sent to the candidate now."""
        if self.state is RolloutState.SETTLED:
            return 1.0
        if self.state in (RolloutState.GROWING, RolloutState.HELD) and self.step != NO_STEP:
            return min(self.steps[self.step], MAX_UNSETTLED_WEIGHT)
        return 0.0

    @property
    def next_weight(self) -> float:
        """The weight after the next step, for which replicas are loaded first."""
        is_last = self.step + 1 >= len(self.steps) or self.state is RolloutState.SETTLED
        return 1.0 if is_last else min(self.steps[self.step + 1], MAX_UNSETTLED_WEIGHT)

    def split(self) -> TrafficSplit:
        """Return the split that edges are sent.

        The peak weight rises when a step is announced, before the step is taken. So an edge with a lease
        never assumes that a key can't have been sent to the candidate when another edge has taken the step.
        """
        settled = self.state is RolloutState.SETTLED
        if settled and not self.previous_retained:
            return TrafficSplit(self.function, self.candidate)
        if self.state in (RolloutState.PROPOSED, RolloutState.WITHDRAWN):
            return TrafficSplit(self.function, self.settled)
        withdrawn = self.state is RolloutState.WITHDRAWING
        peak_weight = self.peak_weight
        if not withdrawn and self.announced_at is not None:
            peak_weight = max(peak_weight, self.next_weight)
        return TrafficSplit(
            function=self.function,
            settled=self.settled,
            candidate=self.candidate,
            weight=self.weight,
            peak_weight=peak_weight,
            withdrawn=withdrawn,
            step=self.step,
            next_weight=0.0 if withdrawn else self.next_weight,
            promoted=settled,
        )

    def handle(
        self, rollout_input: RolloutInput, now: int, actor: str = "planner", reason: str = ""
    ) -> CommandOutcome:
        """Apply an input and return the outcome.

        An input without effect in this state has nothing to do; one without a transition is refused.
        """
        if self.state in UNCHANGED_IN.get(rollout_input, ()):
            return CommandOutcome.NOTHING_TO_DO
        transition = TRANSITIONS.get((self.state, rollout_input))
        if transition is None:
            return CommandOutcome.REFUSED
        before = self.state
        self.state, effect = transition
        effect(self)
        self.peak_weight = max(self.peak_weight, self.weight)
        if rollout_input is RolloutInput.ANNOUNCE_STEP:
            self.announced_at = now
            return CommandOutcome.DONE
        if self.state is not before:
            self.state_since = now
        self.history.append(HistoryEntry(now, actor, reason, rollout_input, self.state))
        return CommandOutcome.DONE

    def evaluate(self, now: int, replicas_ready: bool) -> Verdict:
        """Apply the input that is due by evidence, replicas or time; return the verdict on the evidence.

        Called periodically. `replicas_ready`: the replicas for the next step are loaded.
        """
        verdict = self.evidence.verdict()
        rollout_input, reason = self._due_input(verdict, now, replicas_ready)
        if rollout_input in STEP_INPUTS:
            if self.announced_at is None:
                rollout_input = RolloutInput.ANNOUNCE_STEP
            elif now - self.announced_at < ANNOUNCEMENT_LEAD:
                rollout_input = None
        if rollout_input is not None:
            self.handle(rollout_input, now, reason=reason)
        return verdict

    def _due_input(self, verdict: Verdict, now: int, replicas_ready: bool) -> tuple[RolloutInput | None, str]:
        """Return the input that is due, if any, and its reason."""
        if verdict.must_roll_back and (self.state, RolloutInput.HARM_FOUND) in TRANSITIONS:
            return RolloutInput.HARM_FOUND, f"harm {verdict.log_harm:.1f}"
        if self.state is RolloutState.WARMING and replicas_ready:
            return RolloutInput.REPLICAS_READY, ""
        if self.state is RolloutState.GROWING and self.advance_requested:
            return RolloutInput.EVIDENCE_SUFFICIENT, "advance"
        if self.state is RolloutState.GROWING and verdict.may_advance and replicas_ready:
            return RolloutInput.EVIDENCE_SUFFICIENT, f"good {verdict.log_safety:.1f}"
        retains = self.state is RolloutState.WITHDRAWING or self.previous_retained
        if retains and now - self.state_since >= self.retention:
            return RolloutInput.RETENTION_ENDED, ""
        return None, ""


# Effects of transitions; an effect may set another state than the table.


def no_effect(rollout: Rollout) -> None:
    """Only change the state."""


def take_step(rollout: Rollout) -> None:
    """Take the next step, or settle after the last one.

    The evidence starts anew, so that a fault that occurs only under load is not masked by earlier steps.
    """
    rollout.evidence = Evidence()
    rollout.announced_at = None
    rollout.advance_requested = False
    if rollout.step + 1 < len(rollout.steps):
        rollout.step += 1
    else:
        rollout.state = RolloutState.SETTLED
        rollout.previous_retained = True


def cancel_advance(rollout: Rollout) -> None:
    """Cancel an operator's request to advance."""
    rollout.advance_requested = False


def release_previous(rollout: Rollout) -> None:
    """Stop retaining the version before the settled candidate."""
    rollout.previous_retained = False


def resume(rollout: Rollout) -> None:
    """Resume; a rollout that was held before its replicas were loaded returns to WARMING."""
    if rollout.step == NO_STEP:
        rollout.state = RolloutState.WARMING


def request_advance(rollout: Rollout) -> None:
    """Go on, to the next step without evidence."""
    resume(rollout)
    rollout.advance_requested = rollout.state is RolloutState.GROWING


def withdraw(rollout: Rollout) -> None:
    """Take all traffic from the candidate."""
    rollout.step = NO_STEP
    rollout.previous_retained = False
    rollout.announced_at = None
    rollout.advance_requested = False


UNCHANGED_IN: Mapping[RolloutInput, tuple[RolloutState, ...]] = {
    RolloutInput.HOLD: (RolloutState.HELD,),
    RolloutInput.ROLL_BACK: (RolloutState.WITHDRAWING, RolloutState.WITHDRAWN),
    RolloutInput.START: (RolloutState.WARMING, RolloutState.GROWING, RolloutState.SETTLED),
    RolloutInput.RESUME: (RolloutState.WARMING, RolloutState.GROWING),
}
"""The states in which an input has nothing to do."""

STEP_INPUTS = (RolloutInput.REPLICAS_READY, RolloutInput.EVIDENCE_SUFFICIENT)
"""Inputs that take a step, and are announced to edges before."""

Effect = Callable[[Rollout], None]

TRANSITIONS: dict[tuple[RolloutState, RolloutInput], tuple[RolloutState, Effect]] = {
    (RolloutState.PROPOSED, RolloutInput.START): (RolloutState.WARMING, no_effect),
    (RolloutState.PROPOSED, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWN, withdraw),
    (RolloutState.WARMING, RolloutInput.ANNOUNCE_STEP): (RolloutState.WARMING, no_effect),
    (RolloutState.GROWING, RolloutInput.ANNOUNCE_STEP): (RolloutState.GROWING, no_effect),
    (RolloutState.WARMING, RolloutInput.REPLICAS_READY): (RolloutState.GROWING, take_step),
    (RolloutState.WARMING, RolloutInput.HOLD): (RolloutState.HELD, no_effect),
    (RolloutState.WARMING, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, withdraw),
    (RolloutState.GROWING, RolloutInput.EVIDENCE_SUFFICIENT): (RolloutState.GROWING, take_step),
    (RolloutState.GROWING, RolloutInput.ADVANCE): (RolloutState.GROWING, request_advance),
    (RolloutState.GROWING, RolloutInput.HOLD): (RolloutState.HELD, cancel_advance),
    (RolloutState.GROWING, RolloutInput.HARM_FOUND): (RolloutState.WITHDRAWING, withdraw),
    (RolloutState.GROWING, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, withdraw),
    (RolloutState.HELD, RolloutInput.RESUME): (RolloutState.GROWING, resume),
    (RolloutState.HELD, RolloutInput.ADVANCE): (RolloutState.GROWING, request_advance),
    (RolloutState.HELD, RolloutInput.HARM_FOUND): (RolloutState.WITHDRAWING, withdraw),
    (RolloutState.HELD, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, withdraw),
    (RolloutState.SETTLED, RolloutInput.ROLL_BACK): (RolloutState.WITHDRAWING, withdraw),
    (RolloutState.SETTLED, RolloutInput.RETENTION_ENDED): (RolloutState.SETTLED, release_previous),
    (RolloutState.WITHDRAWING, RolloutInput.RETENTION_ENDED): (RolloutState.WITHDRAWN, no_effect),
}
"""The next state and the effect by state and input; other inputs are refused."""
