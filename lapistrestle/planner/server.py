"""The planner's server: writes operators' commands and edges' counts to the journal, and sends plans.

All decisions are in `planner/state.py`; this module handles the journal, the clock and the connections.
"""

from collections.abc import Callable
from typing import Any, Protocol

from lapistrestle.planner.connection import PlannerConnection, PlannerConnectionFactory
from lapistrestle.planner.entries import JournalEntry, TickEntry, decode_entry, encode_entry
from lapistrestle.planner.state import CommandResult, PlannerState
from lapistrestle.planner.status import rollout_status
from lapistrestle.rollout.readiness import Readiness
from lapistrestle.rollout.state_machine import FINAL_STATES, Rollout, RolloutState
from lapistrestle.store.journal import Journal, JournalError, StaleEpochError
from lapistrestle.ticks import SECOND
from lapistrestle.wire import plans

TICK_INTERVAL = 1.0
"""Seconds between two evaluations of the active rollouts."""

ROUNDING = 0.001
"""Fraction of a tick added before truncation, as floating-point seconds may lie just below a whole tick."""

Log = Callable[..., None]


class PlannerReactor(Protocol):
    """The part of Twisted's reactor interface that the planner uses."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        """Schedule a call after a delay in seconds."""

    def listenTCP(self, port: int, factory: Any, *, interface: str) -> Any:
        """Listen and return Twisted's port object."""


class Planner:
    """A planner on one reactor and one journal. It stops when a newer planner writes the same journal.

    `on_stopped` is called when it stops by itself. The constructor raises the errors of `Journal.entries` and
    `decode_entry` if the journal can't be read.
    """

    def __init__(self, reactor: PlannerReactor, journal: Journal, log: Log) -> None:
        self.reactor = reactor
        self.journal = journal
        self.log = log
        self.state = PlannerState()
        self.journal_time = 0  # ticks: the latest time in the journal
        for number, line in journal.entries():
            entry = decode_entry(line)
            self.state.apply(number, entry)
            self.journal_time = max(self.journal_time, entry.at)
        self.started_at = reactor.seconds()
        self.edge_connections: dict[PlannerConnection, None] = {}
        self.readiness = Readiness()
        self.on_stopped: Callable[[], object] | None = None
        self.is_stopped = False
        log("journal read", entries=self.state.number, epoch=journal.epoch)

    def now(self) -> int:
        """Return the time in ticks, continued from the last journal entry; downtime does not count."""
        elapsed = (self.reactor.seconds() - self.started_at) * SECOND
        return self.journal_time + int(elapsed + ROUNDING)

    def start(self, port: int = 0) -> int:
        """Listen on the loopback interface and start the periodic tick. Return the port."""
        factory = PlannerConnectionFactory(self)
        listening = self.reactor.listenTCP(port, factory, interface="127.0.0.1")
        self.reactor.callLater(TICK_INTERVAL, self.tick)
        actual_port: int = listening.getHost().port
        self.log("listening", port=actual_port)
        return actual_port

    def append(self, entry: JournalEntry) -> CommandResult | None:
        """Write an entry to disk, apply it, then send the changes to the edges.

        Return a command's result; None for other entries, and if another planner writes the journal or the
        disk fails, which stops this planner.
        """
        if self.is_stopped:
            return None
        try:
            number = self.journal.append([encode_entry(entry)])
        except (StaleEpochError, JournalError) as error:
            self.stop(str(error))
            return None
        changed_before = dict(self.state.changed_at)
        result = self.state.apply(number, entry)
        if self.state.changed_at != changed_before:
            self._announce_changes(number)
        return result

    def stop(self, reason: str) -> None:
        """Stop writing, and close all connections to edges."""
        self.is_stopped = True
        self.log("planner stopped", why=reason)
        for connection in list(self.edge_connections):
            connection.close_with_reason("another planner writes the journal")
        if self.on_stopped is not None:
            self.on_stopped()

    def tick(self) -> None:
        """Evaluate the active rollouts, and schedule the next tick."""
        if self.is_stopped:
            return
        self.reactor.callLater(TICK_INTERVAL, self.tick)
        if self.state.active_rollouts():
            self.append(TickEntry(at=self.now(), functions_ready=self.functions_ready()))

    def functions_ready(self) -> tuple[str, ...]:
        """Return the functions with enough replicas for the next weight at every connected edge."""
        edges = {connection.name for connection in self.edge_connections}
        now = self.now()
        return tuple(
            function
            for function, rollout in self.state.rollouts.items()
            if self.readiness.is_ready(function, rollout.candidate, rollout.next_weight, edges, now)
        )

    def verify_newest(self) -> bool:
        """Return whether no newer planner writes the journal; stop if one does.

        Without this check an old planner would renew leases on weights that a newer one has withdrawn.
        """
        if not self.is_stopped and not self.journal.is_newest():
            self.stop("a newer planner writes the journal")
        return not self.is_stopped

    def plan(self, after: int) -> plans.Plan:
        """Return the changes after that entry; the complete plan if `after` is negative."""
        splits = [plans.to_message(split) for split in self.state.splits_changed_after(after).values()]
        return plans.Plan(self.state.number, self.journal.epoch, splits, complete=after < 0)

    def status(self) -> plans.PlannerStatus:
        """Return the status of all rollouts and edges, for operators."""
        rollouts = [self.state.rollouts[function] for function in sorted(self.state.rollouts)]
        return plans.PlannerStatus(
            number=self.state.number,
            epoch=self.journal.epoch,
            rollouts=[rollout_status(rollout, self._shortages(rollout)) for rollout in rollouts],
            plan_by_edge={
                connection.name: connection.acknowledged_plan for connection in self.edge_connections
            },
        )

    def _shortages(self, rollout: Rollout) -> dict[str, str]:
        """Return, by edge, what it lacks for the rollout's next step."""
        if rollout.state in FINAL_STATES or rollout.state is RolloutState.WITHDRAWING:
            return {}
        edges = [connection.name for connection in self.edge_connections]
        now = self.now()
        return self.readiness.shortages(rollout.function, rollout.candidate, rollout.next_weight, edges, now)

    def _announce_changes(self, number: int) -> None:
        """Log the rollouts changed by entry `number`, and send the changes to all edges."""
        for function, rollout in self.state.rollouts.items():
            if self.state.changed_at.get(function) == number:
                state = rollout.state.value
                self.log(
                    "rollout",
                    function=function,
                    candidate=rollout.candidate,
                    state=state,
                    share=rollout.weight,
                )
        for connection in list(self.edge_connections):
            connection.send_changes()
