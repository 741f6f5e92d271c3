"""Checks a tape against the five rules, and some further ones. A violation names the lines that show it."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from scipy.stats import binom

from lapistrestle.checks.directory import Held
from lapistrestle.checks.trace import NEVER, Attempt, Trace

DIRECTORY_TIME = 1000.0  # milliseconds for a change to pass from the roster through a holder to an edge
EPS = 5.0  # milliseconds of difference tolerated between the times seen at two sockets of one machine


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

    def add_violation(self, at: float, says: str, *lines: int) -> None:
        self.violations.append(Violation(self.name, at, says, lines))


def one_answer(story: Trace) -> RuleResult:
    """Rule 1: every RPC gets exactly one final answer, in time, and nothing is sent for it afterwards."""
    judged = RuleResult("1 one final answer")
    slack = story.header["rules"]["answer_slack"]
    excused = 0
    latest = 0.0
    for call in story.calls:
        name, lines = f"RPC {call.message.id}", (call.line, *(n for _, n, _ in call.answers))
        if len(call.answers) > 1:
            judged.add_violation(call.answers[1][0], f"{name} has {len(call.answers)} final answers", *lines)
        due = call.deadline + slack
        connection = story.connections[call.connection]
        blind = any(b < due and call.at < e for b, e in connection.unread)
        excuse = (
            call.faulted
            or call.stream_started_at < due
            or blind
            or story.was_killed(call.edge, call.at, due + EPS)
        )
        excuse = excuse or story.was_stalled(call.edge, call.at, due)
        early = min(call.closed, call.client_gone_at if call.client_gone_at < call.deadline - EPS else NEVER)
        if call.first_answer() > due + EPS and early > due and story.end > due + EPS:
            if excuse:
                excused += 1
            else:
                late = call.first_answer()
                when = "never answered" if late == NEVER else f"answered {late - call.deadline:.0f} ms late"
                judged.add_violation(due, f"{name} is {when}", *lines)
        elif call.answers:
            latest = max(latest, call.first_answer() - call.deadline)
        over = min(call.first_answer(), call.client_gone_at)
        for run in call.attempts:
            if run.at > story.read_at(call.edge, over) + slack + EPS:
                judged.add_violation(run.at, f"{name} is sent out after its end", *lines, run.line)
    judged.figures = {
        "RPCs": len(story.calls),
        "answered": sum(bool(c.answers) for c in story.calls),
        "excused: edge stood still, was killed, or client did not read": excused,
        "latest answer after its deadline, ms": max(0.0, latest),
    }
    return judged


def no_effect_twice(story: Trace) -> RuleResult:
    """Rule 2: no effect happens twice; retries, and rejections as not run, only where that is safe."""
    judged = RuleResult("2 no effect twice")
    methods, rules = story.header["methods"], story.header["rules"]
    further = 0
    for call in story.calls:
        method = methods[call.message.method]
        earlier: list[Attempt] = []
        further += max(0, len(call.attempts) - 1)
        if len(call.attempts) > rules["tries"]:
            says = f"RPC {call.message.id} has {len(call.attempts)} call-outs, {rules['tries']} allowed"
            judged.add_violation(call.attempts[-1].at, says, *(r.line for r in call.attempts))
        for run in call.attempts:
            harm = _harm(story, method, earlier, run)
            if harm:
                lines = (call.line, *(r.line for r in earlier), run.line)
                judged.add_violation(run.at, f"RPC {call.message.id}: {harm}", *lines)
            if not rules["parallel"]:
                for other in earlier:
                    if other.over(EPS) > run.at + EPS:
                        says = f"RPC {call.message.id} has two call-outs at once"
                        judged.add_violation(run.at, says, other.line, run.line)
            earlier.append(run)
        effect, scope = method["effect"], method["scope"]
        repeats = effect == "idempotent" or (effect, scope) == ("tokened", "all")
        for at, number, answer in call.answers:
            may_have = [r for r in call.attempts if r.at <= at and not r.proven_unrun(at + EPS)]
            if answer.verdict == "denied" and may_have and not repeats:
                says = f"RPC {call.message.id} is denied though it may have run"
                judged.add_violation(at, says, call.line, *(r.line for r in may_have), number)
    effects = _effects(story, judged)
    judged.figures = {"further call-outs": further, "effects that must not repeat": effects}
    return judged


def _harm(story: Trace, method: dict[str, object], earlier: list[Attempt], run: Attempt) -> str:
    may_have = [r for r in earlier if not r.proven_unrun(run.at + EPS)]
    if not may_have or method["effect"] == "idempotent":
        return ""
    if method["effect"] == "side-effecting":
        return "a side-effecting RPC is sent again though it may have run"
    first = may_have[0]
    window = method["window"]
    assert isinstance(window, int | float)
    if run.at > first.at + window + EPS:
        return f"a tokened RPC is sent again {run.at - first.at:.0f} ms later, repeats known for {window:.0f}"
    there, here = story.runner_starts[first.start], story.runner_starts[run.start]
    same = {"all": True, "zone": there.zone == here.zone, "cell": there.cell == here.cell}
    if not same[str(method["scope"])]:
        return f"a tokened RPC is sent again outside its {method['scope']}"
    return ""


def _effects(story: Trace, judged: RuleResult) -> int:
    """Reports effects that happened more than once, and counts those that must not. They are told apart by
    the client's key or, for methods with idempotency tokens, by RPC."""
    methods = story.header["methods"]
    seen: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    for at, number, key, method, _, run in story.effects:
        effect = methods[method]["effect"]
        if effect == "side-effecting":
            seen["key", key].append((at, number))
        elif effect == "tokened" and run is not None:
            seen[run.edge, run.message.request].append((at, number))
    for (_, name), times in seen.items():
        if len(times) > 1:
            judged.add_violation(
                times[1][0], f"{name} took effect {len(times)} times", *(n for _, n in times)
            )
    return sum(len(times) for times in seen.values())


def check_drains(story: Trace) -> RuleResult:
    """Rule 3: no new RPC and no preload goes to a runner later than the grace period after the edge was told
    that it drains or is gone."""
    judged = RuleResult("3 drains kept")
    grace = story.header["rules"]["drain_grace"]
    longest = 0.0
    sent = [(r.at, r.line, r.edge, r.start, "an RPC") for r in story.attempts]
    sent += [(h.at, h.line, h.edge, h.start, "an order") for h in story.preloads]
    for at, line, edge, start, what in sent:
        since, by = _told_since(story, edge, start, at)
        if since is None:
            continue
        after = at - story.read_at(edge, since)
        longest = max(longest, after)
        if after > grace + EPS:
            says = f"{what} goes to {start} {after:.0f} ms after {edge} was told that it drains or is gone"
            judged.add_violation(at, says, by, line)
    asked = ok = 0
    for run in story.attempts:
        told = [
            t.at for t in story.notifications.get((run.edge, run.start), ()) if t.drains and t.at > run.at
        ]
        if told and min((w for w, _, _ in run.results), default=NEVER) > told[0] < run.broke:
            asked += 1
            ok += any(outcome == "ok" for _, _, outcome in run.results)
    judged.figures = {
        "longest after being told, ms": longest,
        "call-outs under way at a drain": asked,
        "of them ok": ok,
    }
    return judged


def _told_since(story: Trace, edge: str, start: str, at: float) -> tuple[float | None, int]:
    """Since when the edge has known, at that time, that this start drains or is gone; and the line of it.

    (None, 0) if it serves as far as the edge knows.
    """
    since: float | None = None
    by, roster = 0, True
    for told in story.notifications.get((edge, start), ()):
        if told.at > at:
            break
        if told.drains and since is None:
            since, by, roster = told.at, told.line, told.by_roster
        elif not told.drains and told.by_roster and roster:
            since = None  # the roster took back what it had reported itself
    return since, by


def check_directory_delay(story: Trace) -> RuleResult:
    """A drain or removal that the roster reports to a directory's holder reaches the edges that know the
    runner within a second, not counting times when the holder was stalled or its link to the edge was cut."""
    judged = RuleResult("directory told in time")
    longest, told = 0.0, 0
    for held in story.directory.holds:
        since, by = _told_since(story, held.holder, held.start, held.until)
        if since is None:
            continue
        due = _due(story, held, since)
        if held.told:
            told += 1
            longest = max(longest, held.until - due + DIRECTORY_TIME)
        if held.until > due + EPS:
            after = min(held.until, story.end) - since
            says = (
                f"{held.edge} holds {held.start} by word of {held.holder} {after:.0f} ms after that was told"
            )
            judged.add_violation(due, says, held.line, by)
    judged.figures = {"words of drains or ends": told, "longest way to an edge, ms": max(0.0, longest)}
    return judged


def _due(story: Trace, held: Held, since: float) -> float:
    """By when a change that the holder received at `since` must have reached the edge."""
    due, counted = since + DIRECTORY_TIME, since
    away = story.stalls.get(held.holder, []) + story.cuts.get((held.edge, held.holder), [])
    for begin, end in sorted(away):
        begin = max(begin, counted)  # overlapping periods count once
        if begin < min(due, end):
            due += end - begin
            counted = end
    return due


def cold_not_pushed(story: Trace) -> RuleResult:
    """Rule 4: no runner in slow start is sent more than it can take: so much that it collapses."""
    judged = RuleResult("4 cold runners not pushed over")
    rules = story.header["rules"]
    by_start: dict[str, list[Attempt]] = defaultdict(list)
    for run in story.attempts:
        by_start[run.start].append(run)
    worst = 0.0
    cold = 0
    for boot in story.runner_starts.values():
        if boot.share >= 1:
            continue
        cold += 1
        window: deque[tuple[float, float, Attempt]] = deque()
        total = 0.0
        for run in by_start[boot.start]:
            share = boot.share + (1 - boot.share) * (run.at - boot.at) / max(rules["ramp"], 1e-9)
            if share >= 1 or run.at > boot.fell:
                break
            work = _work(run)
            window.append((run.at, work, run))
            total += work
            while window[0][0] <= run.at - rules["fall_time"]:
                total -= window.popleft()[1]
            most = rules["fall_multiple"] * share * boot.cores * boot.speed * rules["fall_time"]
            worst = max(worst, total / most)
        if boot.fell < NEVER:
            informed = sum(w for _, w, r in window if _knew(story, r, boot.start))
            if total and informed >= total * 2 / 3:
                says = f"{boot.start} fell over {(boot.fell - boot.at) / 1000:.1f} s after its start"
                judged.add_violation(boot.fell, says, *(r.line for _, _, r in list(window)[-5:]))
    judged.figures = {"cold starts": cold, "most sent, as a part of what fells": worst}
    return judged


def _work(run: Attempt) -> float:
    """The true work of the call in milliseconds, which the stand-in client writes into the body."""
    text = bytes(run.message.body)
    mark = text.find(b'"work":')
    try:
        return float(text[mark + 7 :].split(b",")[0].split(b"}")[0]) if mark >= 0 else 1.0
    except ValueError:
        return 1.0


def _knew(story: Trace, run: Attempt, start: str) -> bool:
    return any(told.at <= run.at for told in story.notifications.get((run.edge, start), ()))


def orders_rationed(story: Trace) -> RuleResult:
    """Rule 5: in every window, an edge's preloads stay within a fixed number plus a share of the RPCs
    taken."""
    judged = RuleResult("5 orders within budget")
    rules = story.header["rules"]
    window = rules["order_window"]
    judged.figures = {"orders": len(story.preloads), "closest to the budget": 0.0}
    if not window:
        return judged
    for edge in story.header["edges"]:
        taken = sorted(story.read_at(edge, c.at) for c in story.calls if c.edge == edge)
        orders: deque[tuple[float, int]] = deque()
        begin = end = 0
        kills = story.kills.get(edge, [])
        for hold in (h for h in story.preloads if h.edge == edge):
            reborn = max((k for k in kills if k <= hold.at), default=-NEVER)
            orders.append((hold.at, hold.line))
            while orders and orders[0][0] <= max(hold.at - window + EPS, reborn):
                orders.popleft()
            while end < len(taken) and taken[end] <= hold.at:
                end += 1
            while begin < end and taken[begin] <= hold.at - window - EPS:
                begin += 1
            budget = rules["orders_free"] + rules["orders_share"] * (end - begin)
            part = len(orders) / max(budget, 1e-9)
            judged.figures["closest to the budget"] = max(judged.figures["closest to the budget"], part)
            if len(orders) > budget + 1e-9:
                says = f"{edge} sent {len(orders)} orders in {window:.0f} ms, {budget:.1f} allowed"
                judged.add_violation(hold.at, says, *(line for _, line in list(orders)[-5:]))
    return judged


def withdrawn_left(story: Trace) -> RuleResult:
    """No new work is sent to a version later than a second after its withdrawal was accepted."""
    judged = RuleResult("withdrawn versions left")
    longest = 0.0
    for back, line, name in story.withdrawals:
        for run in story.attempts:
            if run.message.function == name and run.at > back:
                longest = max(longest, run.at - back)
                if run.at > back + 1000 + EPS:
                    judged.add_violation(
                        run.at, f"{name} gets work {run.at - back:.0f} ms later", line, run.line
                    )
        for hold in story.preloads:
            if hold.message.function == name and hold.at > back + 1000 + EPS:
                judged.add_violation(
                    hold.at, f"{name} is ordered {hold.at - back:.0f} ms later", line, hold.line
                )
    judged.figures = {"withdrawals": len(story.withdrawals), "last call-out after one, ms": longest}
    return judged


def shares_kept(story: Trace) -> RuleResult:
    """A candidate version gets no larger part of the keys than its share, except within a second after a
    decrease.

    Shares are those that the planner reported to its operators. A count that is less likely than one in a
    thousand million under the share is a violation.
    """
    judged = RuleResult("shares kept")
    worst = 1.0
    for version, told in story.shares.items():
        function = version.partition("@")[0]
        ends = [at for _, at, _ in told[1:]] + [NEVER]
        met: dict[float, dict[str, Attempt]] = defaultdict(dict)  # by the share allowed: first attempt by key
        for run in story.attempts:
            if run.message.function.partition("@")[0] == function:
                allowed = [share for (since, _, share), end in zip(told, ends, strict=True)
                           if since <= run.at + EPS and run.at <= end + 1000 + EPS]  # fmt: skip
                met[max(allowed, default=0.0)].setdefault(run.message.key or run.message.request, run)
        for share, runs in sorted(met.items()):
            there = [run for run in runs.values() if run.message.function == version]
            odds = float(binom.sf(len(there) - 1, len(runs), share))
            worst = min(worst, odds)
            if odds < 1e-9:
                says = f"{version} gets {len(there)} of {len(runs)} keys, its share being {share:.0%}"
                judged.add_violation(there[0].at, says, *(run.line for run in there[:5]))
    judged.figures = {"versions": len(story.shares), "least likely count of keys, odds": worst}
    return judged


def repeats_on_their_version(story: Trace) -> RuleResult:
    """An RPC with an idempotency token that its client marks as a retry takes effect on one version only,
    since versions do not know each other's tokens."""
    judged = RuleResult("repeats on their version")
    effects: dict[str, list[tuple[float, int, Attempt]]] = defaultdict(list)
    for at, number, key, method, _, run in story.effects:
        if story.header["methods"][method]["effect"] == "tokened" and run is not None and key:
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
                says = f"{key} took effect on {first.message.function} and, coming back, on {back}"
                judged.add_violation(at, says, first.line, run.line, number)
    judged.figures = {"tokened keys": len(effects), "of them with a further effect": came_back}
    return judged


RULES: tuple[Callable[[Trace], RuleResult], ...] = (
    one_answer,
    no_effect_twice,
    check_drains,
    cold_not_pushed,
    orders_rationed,
    withdrawn_left,
    shares_kept,
    repeats_on_their_version,
    check_directory_delay,
)


def check_rules(story: Trace) -> list[RuleResult]:
    return [rule(story) for rule in RULES]
