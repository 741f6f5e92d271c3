"""How far the fleet's figures can be relied on, and what one goes by when they can't: step by step.

Together: the fleet's figures. Part: one's own figures alone, which say the same of one's own part of a last
known fleet, as the level is worked out from shares. Alone: no level at all, the module's own judgement, as
where no fleet is set. A step down is taken at once, a step up only after a while without a step down, so that
links that flap do not move the level with every gap.
"""

from collections.abc import Callable
from enum import Enum

SECOND = 10_000
SETTLED = 3 * SECOND  # without a worse word before one step up
HEARD = 0.5  # of those that count as there must be heard of, for the fleet's figures to say something
ENOUGH = 5.0  # RPCs a second of one's own, under which one's own figures are chance

Step = Enum("Step", "TOGETHER PART ALONE")
Word = Enum("Word", "FULL HALF NONE")  # what the figures allow at this moment

STEPS: dict[tuple[Step, Word], Step] = {
    (Step.TOGETHER, Word.FULL): Step.TOGETHER,
    (Step.TOGETHER, Word.HALF): Step.PART,
    (Step.TOGETHER, Word.NONE): Step.ALONE,
    (Step.PART, Word.FULL): Step.TOGETHER,
    (Step.PART, Word.HALF): Step.PART,
    (Step.PART, Word.NONE): Step.ALONE,
    (Step.ALONE, Word.FULL): Step.PART,
    (Step.ALONE, Word.HALF): Step.PART,
    (Step.ALONE, Word.NONE): Step.ALONE,
}


class Reliance:
    def __init__(self, log: Callable[[str], None], now: int) -> None:
        self.step, self.log, self.worse = Step.ALONE, log, now

    def look(self, told: int, size: int, own: float, now: int) -> Step:
        """`told` of `size` dispatchers have figures young enough, oneself among them; `own` RPCs a second."""
        word = Word.NONE
        if size > 1 and told > 1 and told >= HEARD * size:
            word = Word.FULL
        elif own >= ENOUGH:
            word = Word.HALF
        step = STEPS[self.step, word]
        if step.value > self.step.value or (step.value < self.step.value and now - self.worse >= SETTLED):
            self.move(step, told, size, own, now)
        return self.step

    def move(self, step: Step, told: int, size: int, own: float, now: int) -> None:
        self.step, self.worse = step, now
        self.log(f"fleet figures {step.name.lower()}: {told} of {size} heard, {own:.1f} own a second")
