"""The status of a rollout for operators."""

from lapistrestle.rollout.evidence import OutcomeCounts
from lapistrestle.rollout.state_machine import Rollout
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire import plans

LOG_DECIMALS = 3
"""Decimals of the two logarithms, enough to compare them with their thresholds."""


def rollout_status(rollout: Rollout, shortages: dict[str, str]) -> plans.RolloutStatus:
    """Return one rollout's status; `shortages` says, by edge, what it lacks for the next step."""
    verdict = rollout.evidence.verdict()
    total = OutcomeCounts()
    for minute in rollout.evidence.totals_by_minute().values():
        total = total.plus(minute)
    history = [
        plans.HistoryLine(
            entry.at / MILLISECOND, entry.actor, entry.reason, entry.input.value, entry.state.value
        )
        for entry in rollout.history
    ]
    return plans.RolloutStatus(
        function=rollout.function,
        settled=rollout.settled,
        candidate=rollout.candidate,
        state=rollout.state.value,
        weight=rollout.weight,
        step=rollout.step,
        counts=(total.settled, total.settled_bad, total.candidate, total.candidate_bad),
        log_harm=round(verdict.log_harm, LOG_DECIMALS),
        log_safety=round(verdict.log_safety, LOG_DECIMALS),
        history=history,
        next_weight=rollout.next_weight,
        shortages=shortages,
    )
