"""The states of one rollout: a table of state, input, next state and effect, read by a short loop.

Times are ticks of 0.1 ms on the planner's clock; weights are fractions from 0 to 1.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lapistrestle.rollout.evidence import Evidence, Verdict
from lapistrestle.rollout_types import CommandOutcome, TrafficSplit

MAX_UNSETTLED_WEIGHT = 0.9
"""Until it settles, a part stays behind as what the candidate is judged by, and stays loaded."""

ANNOUNCEMENT_LEAD = 10_000
"""Ticks between announcing a step and taking it: the plan of an edge with a lease is no older."""

NO_STEP = -1
"""The step of a rollout whose candidate has no weight yet."""


class RolloutState(Enum):
    """The state of a rollout; the value is the form on the wire."""

    PROPOSED = "proposed"
    WARMING = "warming"  # replicas are being loaded, no traffic yet
    GROWING = "growing"  # the weight goes on by evidence
    HELD = "held"  # by an operator
    SETTLED = "settled"  # the candidate is what runs
    WITHDRAWING = "withdrawing"  # nothing new goes to it, clients may still come back from it
    WITHDRAWN = "withdrawn"


class RolloutInput(Enum):
    """What moves a rollout; the value is the form in histories and commands."""

    START = "start"
    ANNOUNCE_STEP = "tell"  # edges are told that the next step comes
    REPLICAS_READY = "warm"
    EVIDENCE_SUFFICIENT = "grow"
    HARM_FOUND = "bad"
    ADVANCE = "advance"
    HOLD = "hold"
    RESUME = "resume"
    ROLL_BACK = "back"
    RETENTION_ENDED = "forgotten"


FINAL_STATES = (RolloutState.SETTLED, RolloutState.WITHDRAWN)
"""States after which another rollout of the function may start."""


class HistoryEntry(NamedTuple):
    """What moved a rollout: when, by whom, why, by which input, and the state after it."""

    at: int
    actor: str
    reason: str
    input: RolloutInput
    state: RolloutState


@dataclass
class Rollout:
    """One candidate of one function.

    `steps` are its weights in turn, the last is 1; `step` is the index of the present one. `retention` is
    for how many ticks clients may come back. `announced_at` is when edges were told that the next step
    comes; with `advance_requested` it comes without evidence. `previous_retained`: the candidate has
    settled, and the version before it is still loaded.
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
        """The part of the keys that the candidate gets now."""
        if self.state is RolloutState.SETTLED:
            return 1.0
        if self.state in (RolloutState.GROWING, RolloutState.HELD) and self.step != NO_STEP:
            return min(self.steps[self.step], MAX_UNSETTLED_WEIGHT)
        return 0.0

    @property
    def next_weight(self) -> float:
        """The weight after this one; its replicas come first."""
        is_last = self.step + 1 >= len(self.steps) or self.state is RolloutState.SETTLED
        return 1.0 if is_last else min(self.steps[self.step + 1], MAX_UNSETTLED_WEIGHT)

    def split(self) -> TrafficSplit:
        """Return what edges are sent.

        The peak comes before its step, so that no edge with a lease takes a key for one that can't have met
        the candidate yet.
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
        self, given: RolloutInput, now: int, actor: str = "planner", reason: str = ""
    ) -> CommandOutcome:
        """Take an input; return what came of it.

        What is so already comes to nothing, and what the state has no transition for is refused.
        """
        if self.state in UNCHANGED_IN.get(given, ()):
            return CommandOutcome.NOTHING_TO_DO
        transition = TRANSITIONS.get((self.state, given))
        if transition is None:
            return CommandOutcome.REFUSED
        before = self.state
        self.state, effect = transition
        effect(self)
        self.peak_weight = max(self.peak_weight, self.weight)
        if given is RolloutInput.ANNOUNCE_STEP:
            self.announced_at = now
            return CommandOutcome.DONE
        if self.state is not before:
            self.state_since = now
        self.history.append(HistoryEntry(now, actor, reason, given, self.state))
        return CommandOutcome.DONE

    def evaluate(self, now: int, replicas_ready: bool) -> Verdict:
        """Let the evidence, the replicas and the clock move the rollout; return the evidence's verdict.

        Called once in a while. `replicas_ready`: those that the next step needs are loaded.
        """
        verdict = self.evidence.verdict()
        given, reason = self._due_input(verdict, now, replicas_ready)
        if given in STEP_INPUTS:
            if self.announced_at is None:
                given = RolloutInput.ANNOUNCE_STEP
            elif now - self.announced_at < ANNOUNCEMENT_LEAD:
                given = None
        if given is not None:
            self.handle(given, now, reason=reason)
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


# Effects of transitions; one may set a state other than the table's.


def no_effect(rollout: Rollout) -> None:
    """Change nothing but the state."""


def take_step(rollout: Rollout) -> None:
    """Go to the next step, or settle after the last.

    Each step is judged by itself, so that a fault that shows only at load can't hide behind the last one.
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
    """Call off a step that was asked for."""
    rollout.advance_requested = False


def release_previous(rollout: Rollout) -> None:
    """Let the version before a settled candidate be unloaded."""
    rollout.previous_retained = False


def resume(rollout: Rollout) -> None:
    """Go on; one that was held before its replicas were loaded loads them first."""
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
"""The next state and the effect, by state and input; what is not here is refused."""
