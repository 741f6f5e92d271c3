"""Checks a tape against the five rules, and some further ones. A violation names the lines that show it."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from scipy.stats import binom

from lapistrestle.checks.directory import KnownPeriod
from lapistrestle.checks.trace import NEVER, Attempt, Trace

DIRECTORY_DELAY = 1000.0  # milliseconds for a change to pass from the roster through a holder to an edge
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
    """Rule 1: every RPC gets exactly one final answer, in time, and nothing is sent for it afterwards."""
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
        blind = any(b < due and call.at < e for b, e in connection.unread)
        excuse = (
            call.got_fault
            or call.stream_started_at < due
            or blind
            or trace.was_killed(call.edge, call.at, due + CLOCK_TOLERANCE)
        )
        excuse = excuse or trace.was_stalled(call.edge, call.at, due)
        early = min(
            call.disconnected_at,
            call.client_gone_at if call.client_gone_at < call.deadline - CLOCK_TOLERANCE else NEVER,
        )
        if (
            call.first_answered_at() > due + CLOCK_TOLERANCE
            and early > due
            and trace.end > due + CLOCK_TOLERANCE
        ):
            if excuse:
                excused += 1
            else:
                late = call.first_answered_at()
                when = "never answered" if late == NEVER else f"answered {late - call.deadline:.0f} ms late"
                result.add_violation(due, f"{name} is {when}", *lines)
        elif call.answers:
            latest = max(latest, call.first_answered_at() - call.deadline)
        over = min(call.first_answered_at(), call.client_gone_at)
        for run in call.attempts:
            if run.at > trace.can_act_at(call.edge, over) + slack + CLOCK_TOLERANCE:
                result.add_violation(run.at, f"{name} is sent out after its end", *lines, run.line)
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
    further = 0
    for call in trace.calls:
        method = methods[call.message.method]
        earlier: list[Attempt] = []
        further += max(0, len(call.attempts) - 1)
        if len(call.attempts) > rules["tries"]:
            message = f"RPC {call.message.id} has {len(call.attempts)} call-outs, {rules['tries']} allowed"
            result.add_violation(call.attempts[-1].at, message, *(r.line for r in call.attempts))
        for run in call.attempts:
            harm = _unsafe_retry(trace, method, earlier, run)
            if harm:
                lines = (call.line, *(r.line for r in earlier), run.line)
                result.add_violation(run.at, f"RPC {call.message.id}: {harm}", *lines)
            if not rules["parallel"]:
                for other in earlier:
                    if other.ended_by(CLOCK_TOLERANCE) > run.at + CLOCK_TOLERANCE:
                        message = f"RPC {call.message.id} has two call-outs at once"
                        result.add_violation(run.at, message, other.line, run.line)
            earlier.append(run)
        effect, scope = method["effect"], method["scope"]
        repeats = effect == "idempotent" or (effect, scope) == ("tokened", "all")
        for at, number, answer in call.answers:
            possibly_run = [
                r for r in call.attempts if r.at <= at and not r.known_not_run(at + CLOCK_TOLERANCE)
            ]
            if answer.verdict == "denied" and possibly_run and not repeats:
                message = f"RPC {call.message.id} is denied though it may have run"
                result.add_violation(at, message, call.line, *(r.line for r in possibly_run), number)
    effects = _check_repeated_effects(trace, result)
    result.figures = {"further call-outs": further, "effects that must not repeat": effects}
    return result


def _unsafe_retry(trace: Trace, method: dict[str, object], earlier: list[Attempt], run: Attempt) -> str:
    possibly_run = [r for r in earlier if not r.known_not_run(run.at + CLOCK_TOLERANCE)]
    if not possibly_run or method["effect"] == "idempotent":
        return ""
    if method["effect"] == "side-effecting":
        return "a side-effecting RPC is sent again though it may have run"
    first = possibly_run[0]
    window = method["window"]
    assert isinstance(window, int | float)
    if run.at > first.at + window + CLOCK_TOLERANCE:
        return f"a tokened RPC is sent again {run.at - first.at:.0f} ms later, repeats known for {window:.0f}"
    first_runner, runner = trace.runner_starts[first.start], trace.runner_starts[run.start]
    same = {"all": True, "zone": first_runner.zone == runner.zone, "cell": first_runner.cell == runner.cell}
    if not same[str(method["scope"])]:
        return f"a tokened RPC is sent again outside its {method['scope']}"
    return ""


def _check_repeated_effects(trace: Trace, result: RuleResult) -> int:
    """Reports effects that happened more than once, and counts those that must not. They are told apart by
    the client's key or, for methods with idempotency tokens, by RPC."""
    methods = trace.header["methods"]
    seen: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    for at, number, key, method, _, run in trace.effects:
        effect = methods[method]["effect"]
        if effect == "side-effecting":
            seen["key", key].append((at, number))
        elif effect == "tokened" and run is not None:
            seen[run.edge, run.message.request].append((at, number))
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
    sent = [(r.at, r.line, r.edge, r.start, "an RPC") for r in trace.attempts]
    sent += [(h.at, h.line, h.edge, h.start, "an order") for h in trace.preloads]
    for at, line, edge, start, what in sent:
        since, by = _draining_since(trace, edge, start, at)
        if since is None:
            continue
        after = at - trace.can_act_at(edge, since)
        longest = max(longest, after)
        if after > grace + CLOCK_TOLERANCE:
            message = f"{what} goes to {start} {after:.0f} ms after {edge} was told that it drains or is gone"
            result.add_violation(at, message, by, line)
    asked = ok = 0
    for run in trace.attempts:
        told = [
            t.at for t in trace.notifications.get((run.edge, run.start), ()) if t.draining and t.at > run.at
        ]
        if told and min((w for w, _, _ in run.results), default=NEVER) > told[0] < run.disconnected_at:
            asked += 1
            ok += any(outcome == "ok" for _, _, outcome in run.results)
    result.figures = {
        "longest after being told, ms": longest,
        "call-outs under way at a drain": asked,
        "of them ok": ok,
    }
    return result


def _draining_since(trace: Trace, edge: str, start: str, at: float) -> tuple[float | None, int]:
    """Since when the edge has known, at that time, that this start drains or is gone; and the line of it.

    (None, 0) if it serves as far as the edge knows.
    """
    since: float | None = None
    by, roster = 0, True
    for told in trace.notifications.get((edge, start), ()):
        if told.at > at:
            break
        if told.draining and since is None:
            since, by, roster = told.at, told.line, told.from_list
        elif not told.draining and told.from_list and roster:
            since = None  # the roster took back what it had reported itself
    return since, by


def check_directory_delay(trace: Trace) -> RuleResult:
    """A drain or removal that the roster reports to a directory's holder reaches the edges that know the
    runner within a second, not counting times when the holder was stalled or its link to the edge was cut."""
    result = RuleResult("directory told in time")
    longest, told = 0.0, 0
    for period in trace.directory.known_periods:
        since, by = _draining_since(trace, period.holder, period.start, period.ended_at)
        if since is None:
            continue
        due = _propagation_deadline(trace, period, since)
        if period.ended_by_message:
            told += 1
            longest = max(longest, period.ended_at - due + DIRECTORY_DELAY)
        if period.ended_at > due + CLOCK_TOLERANCE:
            after = min(period.ended_at, trace.end) - since
            message = (
                f"{period.edge} holds {period.start} by word of {period.holder} "
                f"{after:.0f} ms after that was told"
            )
            result.add_violation(due, message, period.line, by)
    result.figures = {"words of drains or ends": told, "longest way to an edge, ms": max(0.0, longest)}
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
    for run in trace.attempts:
        by_start[run.start].append(run)
    worst = 0.0
    cold = 0
    for boot in trace.runner_starts.values():
        if boot.initial_speed >= 1:
            continue
        cold += 1
        window: deque[tuple[float, float, Attempt]] = deque()
        total = 0.0
        for run in by_start[boot.start]:
            share = boot.initial_speed + (1 - boot.initial_speed) * (run.at - boot.at) / max(
                rules["ramp"], 1e-9
            )
            if share >= 1 or run.at > boot.collapsed_at:
                break
            work = _true_work(run)
            window.append((run.at, work, run))
            total += work
            while window[0][0] <= run.at - rules["fall_time"]:
                total -= window.popleft()[1]
            most = rules["fall_multiple"] * share * boot.cores * boot.speed * rules["fall_time"]
            worst = max(worst, total / most)
        if boot.collapsed_at < NEVER:
            informed = sum(w for _, w, r in window if _knew_of_start(trace, r, boot.start))
            if total and informed >= total * 2 / 3:
                message = (
                    f"{boot.start} fell over {(boot.collapsed_at - boot.at) / 1000:.1f} s after its start"
                )
                result.add_violation(boot.collapsed_at, message, *(r.line for _, _, r in list(window)[-5:]))
    result.figures = {"cold starts": cold, "most sent, as a part of what fells": worst}
    return result


def _true_work(run: Attempt) -> float:
    """The true work of the call in milliseconds, which the stand-in client writes into the body."""
    text = bytes(run.message.body)
    mark = text.find(b'"work":')
    try:
        return float(text[mark + 7 :].split(b",")[0].split(b"}")[0]) if mark >= 0 else 1.0
    except ValueError:
        return 1.0


def _knew_of_start(trace: Trace, run: Attempt, start: str) -> bool:
    return any(told.at <= run.at for told in trace.notifications.get((run.edge, start), ()))


def check_preload_budget(trace: Trace) -> RuleResult:
    """Rule 5: in every window, an edge's preloads stay within a fixed number plus a share of the RPCs
    taken."""
    result = RuleResult("5 orders within budget")
    rules = trace.header["rules"]
    window = rules["order_window"]
    result.figures = {"orders": len(trace.preloads), "closest to the budget": 0.0}
    if not window:
        return result
    for edge in trace.header["edges"]:
        taken = sorted(trace.can_act_at(edge, c.at) for c in trace.calls if c.edge == edge)
        orders: deque[tuple[float, int]] = deque()
        begin = end = 0
        kills = trace.kills.get(edge, [])
        for hold in (h for h in trace.preloads if h.edge == edge):
            reborn = max((k for k in kills if k <= hold.at), default=-NEVER)
            orders.append((hold.at, hold.line))
            while orders and orders[0][0] <= max(hold.at - window + CLOCK_TOLERANCE, reborn):
                orders.popleft()
            while end < len(taken) and taken[end] <= hold.at:
                end += 1
            while begin < end and taken[begin] <= hold.at - window - CLOCK_TOLERANCE:
                begin += 1
            budget = rules["orders_free"] + rules["orders_share"] * (end - begin)
            part = len(orders) / max(budget, 1e-9)
            result.figures["closest to the budget"] = max(result.figures["closest to the budget"], part)
            if len(orders) > budget + 1e-9:
                message = f"{edge} sent {len(orders)} orders in {window:.0f} ms, {budget:.1f} allowed"
                result.add_violation(hold.at, message, *(line for _, line in list(orders)[-5:]))
    return result


def check_withdrawals(trace: Trace) -> RuleResult:
    """No new work is sent to a version later than a second after its withdrawal was accepted."""
    result = RuleResult("withdrawn versions left")
    longest = 0.0
    for back, line, name in trace.withdrawals:
        for run in trace.attempts:
            if run.message.function == name and run.at > back:
                longest = max(longest, run.at - back)
                if run.at > back + 1000 + CLOCK_TOLERANCE:
                    result.add_violation(
                        run.at, f"{name} gets work {run.at - back:.0f} ms later", line, run.line
                    )
        for hold in trace.preloads:
            if hold.message.function == name and hold.at > back + 1000 + CLOCK_TOLERANCE:
                result.add_violation(
                    hold.at, f"{name} is ordered {hold.at - back:.0f} ms later", line, hold.line
                )
    result.figures = {"withdrawals": len(trace.withdrawals), "last call-out after one, ms": longest}
    return result


def check_rollout_shares(trace: Trace) -> RuleResult:
    """A candidate version gets no larger part of the keys than its share, except within a second after a
    decrease.

    Shares are those that the planner reported to its operators. A count that is less likely than one in a
    thousand million under the share is a violation.
    """
    result = RuleResult("shares kept")
    worst = 1.0
    for version, told in trace.shares.items():
        function = version.partition("@")[0]
        ends = [at for _, at, _ in told[1:]] + [NEVER]
        met: dict[float, dict[str, Attempt]] = defaultdict(dict)  # by the share allowed: first attempt by key
        for run in trace.attempts:
            if run.message.function.partition("@")[0] == function:
                allowed = [share for (since, _, share), end in zip(told, ends, strict=True)
                           if since <= run.at + CLOCK_TOLERANCE
                           and run.at <= end + 1000 + CLOCK_TOLERANCE]  # fmt: skip
                met[max(allowed, default=0.0)].setdefault(run.message.key or run.message.request, run)
        for share, runs in sorted(met.items()):
            first_runner = [run for run in runs.values() if run.message.function == version]
            odds = float(binom.sf(len(first_runner) - 1, len(runs), share))
            worst = min(worst, odds)
            if odds < 1e-9:
                message = (
                    f"{version} gets {len(first_runner)} of {len(runs)} keys, its share being {share:.0%}"
                )
                result.add_violation(first_runner[0].at, message, *(run.line for run in first_runner[:5]))
    result.figures = {"versions": len(trace.shares), "least likely count of keys, odds": worst}
    return result


def check_retry_versions(trace: Trace) -> RuleResult:
    """An RPC with an idempotency token that its client marks as a retry takes effect on one version only,
    since versions do not know each other's tokens."""
    result = RuleResult("repeats on their version")
    effects: dict[str, list[tuple[float, int, Attempt]]] = defaultdict(list)
    for at, number, key, method, _, run in trace.effects:
        if trace.header["methods"][method]["effect"] == "tokened" and run is not None and key:
            effects[key].append((at, number, run))
    came_back = 0
    for key, seen in effects.items():
        first = seen[0][2]
        for at, number, run in seen[1:]:
            came_back += 1
            if (
                run.message.function != first.message.function
                and run.call is not None
                and run.call.message.is_retry
            ):
                back = run.message.function
                message = f"{key} took effect on {first.message.function} and, coming back, on {back}"
                result.add_violation(at, message, first.line, run.line, number)
    result.figures = {"tokened keys": len(effects), "of them with a further effect": came_back}
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
