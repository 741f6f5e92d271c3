"""An edge as a member of a fleet: gossip with other edges, shared admission control and shared quotas."""

from typing import Any

from lapistrestle.deployment.schema import Fleet
from lapistrestle.fleet.gossip_counters import CounterSettings
from lapistrestle.fleet.gossip_endpoint import GossipEndpoint
from lapistrestle.fleet.member_table import ACTIVE_STATES
from lapistrestle.fleet.quota_leasing import QuotaLeasing
from lapistrestle.fleet.quota_share import QuotaSettings, QuotaShare
from lapistrestle.fleet.settings import FleetSettings
from lapistrestle.overload.admission import (
    UPDATE_EVERY,
    AdmissionController,
    AdmissionSettings,
    RequestOutcome,
)
from lapistrestle.overload.worker_verdicts import WorkerVerdicts, select_probers
from lapistrestle.policy.entities import Worker
from lapistrestle.ticks import MILLISECOND


class FleetMember:
    """One edge as a member of its fleet; created only where the deployment names a fleet.

    `boot` has to grow with each start of the process; `nonce` is a random number drawn at each.
    """

    def __init__(self, edge: Any, fleet: Fleet, boot: int, nonce: int) -> None:
        self.edge, self.fleet = edge, fleet
        dispatcher = edge.deployment.dispatcher
        settings = FleetSettings(
            fleet=fleet.name,
            port=fleet.port,
            advertised_port=fleet.told_port,
            protocol_period=int(fleet.period),
            ping_timeout=int(fleet.period) * 3 // 10,
            seeds=tuple(("127.0.0.1", port) for port in fleet.seeds),
        )
        self.endpoint = GossipEndpoint(
            edge, settings, dispatcher.name, dispatcher.zone, boot, nonce, dispatcher.seed
        )
        digest_settings = CounterSettings(send_interval=int(fleet.tell), refresh_interval=2 * int(fleet.tell))
        process_id = self.endpoint.membership.me.process_id
        self.admission = AdmissionController(
            AdmissionSettings.of(edge.settings),
            process_id,
            digest_settings,
            dispatcher.seed,
            self.endpoint.log,
            edge.clock(),
        )
        self.verdicts = WorkerVerdicts(dispatcher.name)
        self.probers_by_worker: dict[str, list[str]] = {}  # members that probe it while it is ejected
        self.drawn_from: list[str] = []  # members that `probers_by_worker` was selected from
        self.announced: set[Worker] = set()  # ejected workers that were reported to other members
        if fleet.shed:
            self.endpoint.counters, self.endpoint.verdicts = self.admission.counters, self.verdicts

        if fleet.loads:
            # longest time for which a load counts as in progress
            longest = max(m.deadline for m in edge.settings.methods)
            settle = max(longest, edge.settings.preload_timeout)
            # the lease outlives the loads started on it
            quota_settings = QuotaSettings(lease_duration=3 * settle, settling_time=settle)
            loads = QuotaShare(
                "loads", fleet.loads, dispatcher.of, dispatcher.number, quota_settings, edge.clock()
            )
            self.endpoint.quota_leasing = QuotaLeasing(
                loads, self.loads_in_progress, self.endpoint.send_lease_message, dispatcher.seed
            )
            edge.fleet.loads_allowed = self.may_start_load

    def may_start_load(self, now: int) -> bool:
        """Whether this edge's share of the fleet's quota allows one more load; if not, record a shortage."""
        leasing = self.endpoint.quota_leasing
        assert leasing is not None
        if self.loads_in_progress() < leasing.available(now):
            return True
        leasing.record_shortage()
        return False

    def loads_in_progress(self) -> int:
        """Loads in progress for this edge: one per function and worker, however many calls wait for it."""
        return sum(worker.functions_loading for worker in self.edge.host.module.endpoints.workers)

    def start(self) -> None:
        """Start to gossip and join the fleet through its seeds."""
        self.endpoint.start()
        self.update()

    def update(self, _: object = None) -> None:
        """Update admission control, quotas and verdicts from the fleet's state, every UPDATE_EVERY ticks."""
        if self.edge.stopping:
            return
        if self.endpoint.quota_leasing is not None:
            live = [member.record for member in self.endpoint.membership.live()]
            member = self.endpoint.membership.state in ACTIVE_STATES
            self.endpoint.quota_leasing.update(live, member, self.edge.clock())
        if self.fleet.shed:
            self.admission.update(self.endpoint.is_present, self.endpoint.membership.size, self.edge.clock())
            self.edge.fleet.shedding = self.admission.is_shedding
            self.edge.fleet.retries_per_second = self.admission.retry_rate
            self.share_verdicts()
        self.edge.after(UPDATE_EVERY, self.update, None)

    def share_verdicts(self) -> None:
        """Exchange verdicts on workers' health between the module and the other members.

        Workers that the module ejected are reported to the others, as is their recovery; a recovery that
        another member reports is passed to the module. Only a few members probe an ejected worker.
        """
        now, me, verdicts = self.edge.clock(), self.verdicts.me, self.verdicts.by_worker
        members = self.endpoint.membership
        members_by_name = [me, *(m.name for m in members.live())] if members.size else [me]
        if members_by_name != self.drawn_from:
            self.drawn_from, self.probers_by_worker = members_by_name, {}
        workers = list(self.edge.host.module.endpoints.serving)
        self.verdicts.retain(worker.name for worker in workers)
        for worker in workers:
            verdict = verdicts.get(worker.name)
            if worker.ejected and verdict is not None and verdict.healthy and verdict.prober != me:
                self.edge.host.peer_verdict_received(worker, verdict.at)
            if worker.ejected and worker not in self.announced:
                self.verdicts.record(worker.name, False, now)
                self.announced.add(worker)
            elif not worker.ejected and worker in self.announced:
                self.announced.discard(worker)
                if verdict is not None and verdict.prober == me:  # else another member found it healthy
                    self.verdicts.record(worker.name, True, now)
            if worker.ejected:
                names = self.probers_by_worker.get(worker.name) or select_probers(
                    worker.name, members_by_name
                )
                self.probers_by_worker[worker.name] = names
                worker.trials_assigned_here = me in names
        self.announced &= set(workers)

    def admit(self, method: int, customer: int, repeat: bool, key: str) -> int | None:
        """As `AdmissionController.admit`: None if admitted, else the retry delay in ticks (0: none)."""
        if not self.fleet.shed:
            return None
        return self.admission.admit(method, customer, repeat, key, self.edge.clock())

    def on_request_finished(
        self, outcome: str, is_late: bool, reached_worker: bool, is_worker_fault: bool
    ) -> None:
        """As `AdmissionController.on_request_finished`, with the host's name of the outcome."""
        self.admission.on_request_finished(RequestOutcome(outcome), is_late, reached_worker, is_worker_fault)

    def quota_state(self, now: int) -> dict[str, int] | None:
        """The quota of loads, for operators; None where the fleet shares none."""
        if self.endpoint.quota_leasing is None:
            return None
        share = self.endpoint.quota_leasing.share
        lent, borrowed = share.leased_out_units(), sum(lease.units for lease in share.borrowed.values())
        return {"may": share.available(now), "cut": share.own_units, "lent": lent, "borrowed": borrowed,
                "under way": self.loads_in_progress()}  # fmt: skip

    def show(self) -> dict[str, Any]:
        """The member's state for operators (`lapistrestle fleet show --json`)."""
        endpoint, members, now = self.endpoint, self.endpoint.membership, self.edge.clock()
        return {
            "name": members.me.name, "fleet": self.fleet.name, "standing": members.state.name.lower(),
            "doubt": members.health.score, "size": members.size, "door": self.admission.show(),
            "loads": self.quota_state(now),
            "datagrams": {"sent": endpoint.datagrams_sent, "bytes": endpoint.bytes_sent,
                          "came": endpoint.datagrams_received,
                          "refused": endpoint.datagrams_rejected + self.admission.counters.rejected},
            "members": [
                {"name": m.name, "zone": m.record.zone, "port": m.record.port, "is": m.status.name.lower(),
                 "for ms": (now - m.status_since) / MILLISECOND, "incarnation": m.record.incarnation,
                 "accused by": sorted(m.suspected_by),
                 "heard ms ago": (now - m.last_heard_at) / MILLISECOND if m.last_heard_at >= 0 else None}
                for _, m in sorted(members.members.items())
            ],
        }  # fmt: skip
