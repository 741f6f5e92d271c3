"""Checks a tape against the five rules, and some further ones. A violation names the lines that show it."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from scipy.stats import binom

from lapistrestle.checks.directory import KnownPeriod
from lapistrestle.checks.trace import NEVER, Attempt, Trace

DIRECTORY_DELAY = 1000.0  # milliseconds for a change to pass from the roster through a holder to an edge
WITHDRAWAL_DELAY = 1000  # milliseconds from the acceptance of a withdrawal until edges must have applied it
SHARE_DELAY = 1000  # milliseconds from the decrease of a share until edges must have applied it
LEAST_PROBABILITY = 1e-9  # of a count of keys that still counts as chance
EPSILON = 1e-9  # avoids divisions by zero, and ignores rounding errors
CLOCK_TOLERANCE = 5.0  # milliseconds between the times seen at two sockets of one machine


@dataclass(frozen=True)
class Violation:
    rule: str
    at: float
    message: str
    lines: tuple[int, ...]


@dataclass
class RuleResult:
    """The violations of one rule, and figures about how close the run came to one."""

    name: str
    violations: list[Violation] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)

    def add_violation(self, at: float, message: str, *lines: int) -> None:
        self.violations.append(Violation(self.name, at, message, lines))


def check_answers(trace: Trace) -> RuleResult:
    """Rule 1: every RPC gets exactly one final answer, in time, and nothing is sent for it afterwards.

    A late or missing answer is excused if the call got a fault or began to stream, if the client did not
    read, or if the edge was stalled or killed. It does not count if the client disconnected or cancelled
    before the deadline; a cancel at the deadline is its timeout, by which an answer is due.
    """
    result = RuleResult("1 one final answer")
    slack = trace.header["rules"]["answer_slack"]
    excused = 0
    latest = 0.0
    for call in trace.calls:
        name, lines = f"RPC {call.message.id}", (call.line, *(n for _, n, _ in call.answers))
        if len(call.answers) > 1:
            result.add_violation(call.answers[1][0], f"{name} has {len(call.answers)} final answers", *lines)
        due = call.deadline + slack
        connection = trace.connections[call.connection]
        unread = any(b < due and call.at < e for b, e in connection.unread_periods)
        is_excused = (
            call.got_fault
            or call.stream_started_at < due
            or unread
            or trace.was_killed(call.edge, call.at, due + CLOCK_TOLERANCE)
        )
        is_excused = is_excused or trace.was_stalled(call.edge, call.at, due)
        client_end = min(
            call.disconnected_at,
            call.client_gone_at if call.client_gone_at < call.deadline - CLOCK_TOLERANCE else NEVER,
        )
        if (
            call.first_answered_at() > due + CLOCK_TOLERANCE
            and client_end > due
            and trace.end > due + CLOCK_TOLERANCE
        ):
            if is_excused:
                excused += 1
            else:
                late = call.first_answered_at()
                when = "never answered" if late == NEVER else f"answered {late - call.deadline:.0f} ms late"
                result.add_violation(due, f"{name} is {when}", *lines)
        elif call.answers:
            latest = max(latest, call.first_answered_at() - call.deadline)
        ended_at = min(call.first_answered_at(), call.client_gone_at)
        for attempt in call.attempts:
            if attempt.at > trace.can_act_at(call.edge, ended_at) + slack + CLOCK_TOLERANCE:
                result.add_violation(attempt.at, f"{name} is sent out after its end", *lines, attempt.line)
    result.figures = {
        "RPCs": len(trace.calls),
        "answered": sum(bool(c.answers) for c in trace.calls),
        "excused: edge stood still, was killed, or client did not read": excused,
        "latest answer after its deadline, ms": max(0.0, latest),
    }
    return result


def check_effects(trace: Trace) -> RuleResult:
    """Rule 2: no effect happens twice; retries, and rejections as not run, only where that is safe."""
    result = RuleResult("2 no effect twice")
    methods, rules = trace.header["methods"], trace.header["rules"]
    retries = 0
    for call in trace.calls:
        method = methods[call.message.method]
        earlier: list[Attempt] = []
        retries += max(0, len(call.attempts) - 1)
        if len(call.attempts) > rules["tries"]:
            message = f"RPC {call.message.id} has {len(call.attempts)} attempts, {rules['tries']} allowed"
            result.add_violation(call.attempts[-1].at, message, *(each.line for each in call.attempts))
        for attempt in call.attempts:
            problem = _unsafe_retry(trace, method, earlier, attempt)
            if problem:
                lines = (call.line, *(each.line for each in earlier), attempt.line)
                result.add_violation(attempt.at, f"RPC {call.message.id}: {problem}", *lines)
            if not rules["parallel"]:
                for other in earlier:
                    if other.over_at(CLOCK_TOLERANCE) > attempt.at + CLOCK_TOLERANCE:
                        message = f"RPC {call.message.id} has two attempts at once"
                        result.add_violation(attempt.at, message, other.line, attempt.line)
            earlier.append(attempt)
        effect, scope = method["effect"], method["scope"]
        is_repeatable = effect == "idempotent" or (effect, scope) == ("tokened", "all")
        for at, number, answer in call.answers:
            possibly_run = [
                each
                for each in call.attempts
                if each.at <= at and not each.known_not_run(at + CLOCK_TOLERANCE)
            ]
            if answer.verdict == "denied" and possibly_run and not is_repeatable:
                message = f"RPC {call.message.id} is rejected as not run though it may have run"
                result.add_violation(at, message, call.line, *(each.line for each in possibly_run), number)
    effects = _check_repeated_effects(trace, result)
    result.figures = {"further call-outs": retries, "effects that must not repeat": effects}
    return result


def _unsafe_retry(trace: Trace, method: dict[str, object], earlier: list[Attempt], attempt: Attempt) -> str:
    possibly_run = [each for each in earlier if not each.known_not_run(attempt.at + CLOCK_TOLERANCE)]
    if not possibly_run or method["effect"] == "idempotent":
        return ""
    if method["effect"] == "side-effecting":
        return "a side-effecting RPC is retried though it may have run"
    first = possibly_run[0]
    window = method["window"]
    assert isinstance(window, int | float)
    if attempt.at > first.at + window + CLOCK_TOLERANCE:
        return (
            f"a tokened RPC is retried {attempt.at - first.at:.0f} ms later, tokens kept for {window:.0f} ms"
        )
    first_runner, runner = trace.runner_starts[first.start], trace.runner_starts[attempt.start]
    same = {"all": True, "zone": first_runner.zone == runner.zone, "cell": first_runner.cell == runner.cell}
    if not same[str(method["scope"])]:
        return f"a tokened RPC is retried outside its {method['scope']}"
    return ""


def _check_repeated_effects(trace: Trace, result: RuleResult) -> int:
    """Reports effects that happened more than once, and counts those that must not. They are told apart by
    the client's key or, for methods with idempotency tokens, by RPC."""
    methods = trace.header["methods"]
    seen: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    for at, number, key, method, _, attempt in trace.effects:
        effect = methods[method]["effect"]
        if effect == "side-effecting":
            seen["key", key].append((at, number))
        elif effect == "tokened" and attempt is not None:
            seen[attempt.edge, attempt.message.request].append((at, number))
    for (_, name), times in seen.items():
        if len(times) > 1:
            result.add_violation(
                times[1][0], f"{name} took effect {len(times)} times", *(n for _, n in times)
            )
    return sum(len(times) for times in seen.values())


def check_drains(trace: Trace) -> RuleResult:
    """Rule 3: no new RPC and no preload goes to a runner later than the grace period after the edge was told
    that it drains or is gone."""
    result = RuleResult("3 drains kept")
    grace = trace.header["rules"]["drain_grace"]
    longest = 0.0
    messages = [(each.at, each.line, each.edge, each.start, "an RPC") for each in trace.attempts]
    messages += [
        (preload.at, preload.line, preload.edge, preload.start, "a preload") for preload in trace.preloads
    ]
    for at, line, edge, start, what in messages:
        known_at, known_line = _draining_since(trace, edge, start, at)
        if known_at is None:
            continue
        after = at - trace.can_act_at(edge, known_at)
        longest = max(longest, after)
        if after > grace + CLOCK_TOLERANCE:
            message = f"{what} goes to {start} {after:.0f} ms after {edge} was told that it drains or is gone"
            result.add_violation(at, message, known_line, line)
    # attempts in flight when the drain was announced, and those of them that still succeeded
    in_flight = succeeded = 0
    for attempt in trace.attempts:
        drained_at = [
            notice.at
            for notice in trace.notifications.get((attempt.edge, attempt.start), ())
            if notice.draining and notice.at > attempt.at
        ]
        if (
            drained_at
            and min((when for when, _, _ in attempt.results), default=NEVER)
            > drained_at[0]
            < attempt.disconnected_at
        ):
            in_flight += 1
            succeeded += any(outcome == "ok" for _, _, outcome in attempt.results)
    result.figures = {
        "longest after being told, ms": longest,
        "call-outs under way at a drain": in_flight,
        "of them ok": succeeded,
    }
    return result


def _draining_since(trace: Trace, edge: str, start: str, at: float) -> tuple[float | None, int]:
    """Since when the edge has known, at that time, that this start drains or is gone; and the line of it.

    (None, 0) if it serves as far as the edge knows.
    """
    since: float | None = None
    by, from_list = 0, True
    for notice in trace.notifications.get((edge, start), ()):
        if notice.at > at:
            break
        if notice.draining and since is None:
            since, by, from_list = notice.at, notice.line, notice.from_list
        elif not notice.draining and notice.from_list and from_list:
            since = None  # the roster took back what it had reported itself
    return since, by


def check_directory_delay(trace: Trace) -> RuleResult:
    """A drain or removal that the roster reports to a directory's holder reaches the edges that know the
    runner within a second, not counting times when the holder was stalled or its link to the edge was cut."""
    result = RuleResult("directory told in time")
    longest, reported = 0.0, 0
    for period in trace.directory.known_periods:
        since, by = _draining_since(trace, period.holder, period.start, period.ended_at)
        if since is None:
            continue
        due = _propagation_deadline(trace, period, since)
        if period.ended_by_message:
            reported += 1
            longest = max(longest, period.ended_at - due + DIRECTORY_DELAY)
        if period.ended_at > due + CLOCK_TOLERANCE:
            after = min(period.ended_at, trace.end) - since
            message = (
                f"{period.edge} holds {period.start} by word of {period.holder} "
                f"{after:.0f} ms after that was told"
            )
            result.add_violation(due, message, period.line, by)
    result.figures = {"words of drains or ends": reported, "longest way to an edge, ms": max(0.0, longest)}
    return result


def _propagation_deadline(trace: Trace, period: KnownPeriod, since: float) -> float:
    """By when a change that the holder received at `since` must have reached the edge."""
    due, counted = since + DIRECTORY_DELAY, since
    away = trace.stalls.get(period.holder, []) + trace.cuts.get((period.edge, period.holder), [])
    for begin, end in sorted(away):
        begin = max(begin, counted)  # overlapping periods count once
        if begin < min(due, end):
            due += end - begin
            counted = end
    return due


def check_slow_start(trace: Trace) -> RuleResult:
    """Rule 4: no runner in slow start is sent more than it can take: so much that it collapses."""
    result = RuleResult("4 cold runners not pushed over")
    rules = trace.header["rules"]
    by_start: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in trace.attempts:
        by_start[attempt.start].append(attempt)
    worst = 0.0
    cold_starts = 0
    for runner_start in trace.runner_starts.values():
        if runner_start.initial_speed >= 1:
            continue
        cold_starts += 1
        window: deque[tuple[float, float, Attempt]] = deque()
        total = 0.0
        for attempt in by_start[runner_start.start]:
            relative_speed = runner_start.initial_speed + (1 - runner_start.initial_speed) * (
                attempt.at - runner_start.at
            ) / max(rules["ramp"], EPSILON)
            if relative_speed >= 1 or attempt.at > runner_start.collapsed_at:
                break
            work = _true_work(attempt)
            window.append((attempt.at, work, attempt))
            total += work
            while window[0][0] <= attempt.at - rules["fall_time"]:
                total -= window.popleft()[1]
            limit = (
                rules["fall_multiple"]
                * relative_speed
                * runner_start.cores
                * runner_start.speed
                * rules["fall_time"]
            )
            worst = max(worst, total / limit)
        if runner_start.collapsed_at < NEVER:
            informed = sum(
                work for _, work, each in window if _knew_of_start(trace, each, runner_start.start)
            )
            # a violation if most of it came from edges that knew that this start was in slow start
            if total and informed >= total * 2 / 3:
                message = (
                    f"{runner_start.start} collapsed "
                    f"{(runner_start.collapsed_at - runner_start.at) / 1000:.1f} s after its start"
                )
                result.add_violation(
                    runner_start.collapsed_at, message, *(each.line for _, _, each in list(window)[-5:])
                )
    result.figures = {"cold starts": cold_starts, "most sent, as a part of what fells": worst}
    return result


def _true_work(attempt: Attempt) -> float:
    """The true work of the call in milliseconds, which the stand-in client writes into the body; 1 without
    it."""
    text = bytes(attempt.message.body)
    mark = text.find(b'"work":')
    try:
        return float(text[mark + 7 :].split(b",")[0].split(b"}")[0]) if mark >= 0 else 1.0
    except ValueError:
        return 1.0


def _knew_of_start(trace: Trace, attempt: Attempt, start: str) -> bool:
    return any(notice.at <= attempt.at for notice in trace.notifications.get((attempt.edge, start), ()))


def check_preload_budget(trace: Trace) -> RuleResult:
    """Rule 5: in every window, an edge's preloads stay within a fixed number plus a share of the RPCs
    accepted."""
    result = RuleResult("5 orders within budget")
    rules = trace.header["rules"]
    window = rules["order_window"]
    result.figures = {"orders": len(trace.preloads), "closest to the budget": 0.0}
    if not window:
        return result
    for edge in trace.header["edges"]:
        accepted_at = sorted(trace.can_act_at(edge, c.at) for c in trace.calls if c.edge == edge)
        preload_times: deque[tuple[float, int]] = deque()
        begin = end = 0
        kills = trace.kills.get(edge, [])
        for preload in (each for each in trace.preloads if each.edge == edge):
            restarted_at = max((k for k in kills if k <= preload.at), default=-NEVER)
            preload_times.append((preload.at, preload.line))
            while preload_times and preload_times[0][0] <= max(
                preload.at - window + CLOCK_TOLERANCE, restarted_at
            ):
                preload_times.popleft()
            while end < len(accepted_at) and accepted_at[end] <= preload.at:
                end += 1
            while begin < end and accepted_at[begin] <= preload.at - window - CLOCK_TOLERANCE:
                begin += 1
            budget = rules["orders_free"] + rules["orders_share"] * (end - begin)
            used_fraction = len(preload_times) / max(budget, EPSILON)
            result.figures["closest to the budget"] = max(
                result.figures["closest to the budget"], used_fraction
            )
            if len(preload_times) > budget + EPSILON:
                message = (
                    f"{edge} sent {len(preload_times)} preloads in {window:.0f} ms, {budget:.1f} allowed"
                )
                result.add_violation(preload.at, message, *(line for _, line in list(preload_times)[-5:]))
    return result


def check_withdrawals(trace: Trace) -> RuleResult:
    """No new work is sent to a version later than a second after its withdrawal was accepted."""
    result = RuleResult("withdrawn versions left")
    longest = 0.0
    for accepted_at, line, name in trace.withdrawals:
        for attempt in trace.attempts:
            if attempt.message.function == name and attempt.at > accepted_at:
                longest = max(longest, attempt.at - accepted_at)
                if attempt.at > accepted_at + WITHDRAWAL_DELAY + CLOCK_TOLERANCE:
                    result.add_violation(
                        attempt.at,
                        f"{name} gets work {attempt.at - accepted_at:.0f} ms after its withdrawal",
                        line,
                        attempt.line,
                    )
        for preload in trace.preloads:
            if (
                preload.message.function == name
                and preload.at > accepted_at + WITHDRAWAL_DELAY + CLOCK_TOLERANCE
            ):
                result.add_violation(
                    preload.at,
                    f"{name} is preloaded {preload.at - accepted_at:.0f} ms after its withdrawal",
                    line,
                    preload.line,
                )
    result.figures = {"withdrawals": len(trace.withdrawals), "last call-out after one, ms": longest}
    return result


def check_rollout_shares(trace: Trace) -> RuleResult:
    """A candidate version gets no larger part of the keys than its share, except within a second after a
    decrease.

    Shares are those that the planner reported to its operators. A count that is less likely than
    `LEAST_PROBABILITY` under the share is a violation.
    """
    result = RuleResult("shares kept")
    worst = 1.0
    for version, history in trace.shares.items():
        function = version.partition("@")[0]
        ends = [at for _, at, _ in history[1:]] + [NEVER]
        # first attempt by key, by the share allowed
        by_share: dict[float, dict[str, Attempt]] = defaultdict(dict)
        for attempt in trace.attempts:
            if attempt.message.function.partition("@")[0] == function:
                allowed = [share for (since, _, share), end in zip(history, ends, strict=True)
                           if since <= attempt.at + CLOCK_TOLERANCE
                           and attempt.at <= end + SHARE_DELAY + CLOCK_TOLERANCE]  # fmt: skip
                by_share[max(allowed, default=0.0)].setdefault(
                    attempt.message.key or attempt.message.request, attempt
                )
        for share, attempts in sorted(by_share.items()):
            to_candidate = [attempt for attempt in attempts.values() if attempt.message.function == version]
            probability = float(binom.sf(len(to_candidate) - 1, len(attempts), share))
            worst = min(worst, probability)
            if probability < LEAST_PROBABILITY:
                message = (
                    f"{version} gets {len(to_candidate)} of {len(attempts)} keys, its share being {share:.0%}"
                )
                result.add_violation(
                    to_candidate[0].at, message, *(attempt.line for attempt in to_candidate[:5])
                )
    result.figures = {"versions": len(trace.shares), "least likely count of keys, odds": worst}
    return result


def check_retry_versions(trace: Trace) -> RuleResult:
    """An RPC with an idempotency token that its client marks as a retry takes effect on one version only,
    since versions do not know each other's tokens."""
    result = RuleResult("repeats on their version")
    effects: dict[str, list[tuple[float, int, Attempt]]] = defaultdict(list)
    for at, number, key, method, _, attempt in trace.effects:
        if trace.header["methods"][method]["effect"] == "tokened" and attempt is not None and key:
            effects[key].append((at, number, attempt))
    repeated = 0
    for key, seen in effects.items():
        first = seen[0][2]
        for at, number, attempt in seen[1:]:
            repeated += 1
            if (
                attempt.message.function != first.message.function
                and attempt.call is not None
                and attempt.call.message.is_retry
            ):
                back = attempt.message.function
                message = f"{key} took effect on {first.message.function} and, when retried, on {back}"
                result.add_violation(at, message, first.line, attempt.line, number)
    result.figures = {"tokened keys": len(effects), "of them with a further effect": repeated}
    return result


RULES: tuple[Callable[[Trace], RuleResult], ...] = (
    check_answers,
    check_effects,
    check_drains,
    check_slow_start,
    check_preload_budget,
    check_withdrawals,
    check_rollout_shares,
    check_retry_versions,
    check_directory_delay,
)


def check_rules(trace: Trace) -> list[RuleResult]:
    return [rule(trace) for rule in RULES]
