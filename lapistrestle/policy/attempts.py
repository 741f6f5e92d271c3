"""Sends attempts, and tracks those in flight."""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import FunctionReplica, Request
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.load_limit import LoadLimit
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.ports import Host
from lapistrestle.policy.settings import MethodKind, Settings
from lapistrestle.policy.slow_start import SlowStart
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Attempt, Outcome

# The timeout of an attempt is this fraction of the time left to the latency objective, or so many typical
# latencies if that is longer: under congestion a timeout only adds work (docs/design.md, "Time-outs").
OBJECTIVE_FRACTION: Final = 2 / 3
TYPICAL_LATENCIES: Final = 4
# The same for a dispatcher that uses each worker rarely and so cannot detect congestion, where a retry would
# run twice. Slower to react if many workers are silent.
SPARSE_OBJECTIVE_FRACTION: Final = 1
SPARSE_TYPICAL_LATENCIES: Final = 8


class Attempts:
    """Own attempts in flight; sends new ones."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        clock: Clock,
        latency: LatencyEstimates,
        throughput: Throughput,
        copies: LoadedCopies,
        load_limit: LoadLimit,
        slow_start: SlowStart,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock
        self.latency = latency
        self.throughput = throughput
        self.copies = copies
        self.load_limit = load_limit
        self.slow_start = slow_start
        self.warm_count = 0  # in flight, not waiting for a load
        self.warm: dict[Attempt, None] = {}  # those, the oldest first

    def send(self, request: Request, replica: FunctionReplica) -> None:
        """Send the request to the replica's worker."""
        now = self.clock.now
        cold = not (self.copies.believed_count(replica) or self.copies.presumed_loaded(replica))
        expected = int(self.latency.isolated(replica.function) * request.scale) + 1
        attempt = Attempt(request, replica.worker, now, cold, replica.in_flight + 1, expected)
        request.attempts.append(attempt)
        replica.start(attempt)
        if cold:
            self.load_limit.in_progress += 1
        else:
            self.warm[attempt] = None
            self.warm_count += 1
        self.slow_start.add_sent(replica.worker, request)
        self.host.send_attempt(attempt, self.timeout(request, replica, cold))

    def finish(self, attempt: Attempt, replica: FunctionReplica, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        attempt.outcome = outcome
        replica.finish(attempt)
        self.warm.pop(attempt, None)
        if attempt.cold:
            self.load_limit.in_progress -= 1
        else:
            self.warm_count -= 1
        if outcome is not Outcome.TIMED_OUT:
            worker = replica.worker
            worker.silent_since = self.clock.now if worker.warm_attempts else None

    def timeout(self, request: Request, replica: FunctionReplica, cold: bool) -> int:
        """Return the timeout of an attempt in ticks: all the time left if no retry may follow, otherwise most
        of the time left to the latency objective.
        """
        now = self.clock.now
        time_left = max(1, request.deadline - now)
        kind = self.settings.methods[request.method].kind
        last = len(request.attempts) >= self.settings.attempt_limit
        if kind is MethodKind.AT_MOST_ONCE or cold or last:
            return time_left
        isolated = self.latency.isolated(replica.function) * request.scale
        typical = max(self.throughput.ok_latency.read(0), isolated)
        fraction, factor = OBJECTIVE_FRACTION, TYPICAL_LATENCIES
        if self.throughput.time_constant_factor > 1:
            fraction, factor = SPARSE_OBJECTIVE_FRACTION, SPARSE_TYPICAL_LATENCIES
        to_objective = request.accepted_at + self.latency.objective(request) - now
        return int(min(time_left, max(to_objective * fraction, factor * typical)))
