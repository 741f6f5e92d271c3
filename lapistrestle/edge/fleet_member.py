"""An edge's part in its fleet: its endpoint towards other edges, and admission by what they say."""

from typing import Any

from lapistrestle.deployment.shape import Fleet
from lapistrestle.fleet.allowance import Allowance, AllowanceSettings
from lapistrestle.fleet.digests import DigestSettings
from lapistrestle.fleet.endpoint import FleetEndpoint
from lapistrestle.fleet.lending import Lending
from lapistrestle.fleet.settings import FleetSettings
from lapistrestle.fleet.table import ACTIVE
from lapistrestle.overload.admission import UPDATE_EVERY, AdmissionController, AdmissionSettings
from lapistrestle.overload.probers import Verdicts, probers
from lapistrestle.policy.state import Worker


class FleetMember:
    """One edge as a member of its fleet, made only where the deployment names one. `boot` grows with each
    start, `nonce` differs at each."""

    def __init__(self, edge: Any, fleet: Fleet, boot: int, nonce: int) -> None:
        self.edge, self.fleet = edge, fleet
        place = edge.deployment.dispatcher
        settings = FleetSettings(
            fleet=fleet.name,
            port=fleet.port,
            advertised_port=fleet.told_port,
            period=int(fleet.period),
            direct=int(fleet.period) * 3 // 10,
            seeds=tuple(("127.0.0.1", port) for port in fleet.seeds),
        )
        self.endpoint = FleetEndpoint(edge, settings, place.name, place.zone, boot, nonce, place.seed)
        digest_settings = DigestSettings(send_every=int(fleet.tell), refresh=2 * int(fleet.tell))
        life = self.endpoint.members.me.life
        self.admission = AdmissionController(
            AdmissionSettings.of(edge.settings),
            life,
            digest_settings,
            place.seed,
            self.endpoint.log,
            edge.clock(),
        )
        self.verdicts = Verdicts(place.name)
        self.probers_of: dict[str, list[str]] = {}  # by worker: who probes it while it is suspect
        self.drawn_from: list[str] = []  # the members from whom they were drawn
        self.announced: set[Worker] = set()  # those of whom others were told that they are suspect
        if fleet.shed:
            self.endpoint.digests, self.endpoint.verdicts = self.admission.digests, self.verdicts

        if fleet.loads:
            longest = max(m.deadline for m in edge.settings.methods)  # that one counts as under way
            settle = max(longest, edge.settings.preload_timeout)
            lends = AllowanceSettings(lasts=3 * settle, settle=settle)  # what began on a loan ends within it
            loads = Allowance("loads", fleet.loads, place.of, place.number, lends, edge.clock())
            self.endpoint.lending = Lending(loads, self.loading, self.endpoint.lend, place.seed)
            edge.fleet.loads_allowed = self.loads

    def loads(self, now: int) -> bool:
        """Whether one more load of this edge may begin at this moment."""
        lending = self.endpoint.lending
        assert lending is not None
        if self.loading() < lending.part(now):
            return True
        lending.wish()
        return False

    def loading(self) -> int:
        """Loads of this edge under way: functions on workers, however many wait for each."""
        return sum(worker.loads for worker in self.edge.host.module.workers)

    def start(self) -> None:
        """Join the fleet."""
        self.endpoint.start()
        self.update()

    def update(self, _: object = None) -> None:
        """Read the fleet's figures, and hand the module what follows, now and again."""
        if self.edge.stopping:
            return
        if self.endpoint.lending is not None:
            live = [member.claim for member in self.endpoint.members.live()]
            member = self.endpoint.members.state in ACTIVE
            self.endpoint.lending.update(live, member, self.edge.clock())
        if self.fleet.shed:
            self.admission.update(self.endpoint.present, self.endpoint.members.size, self.edge.clock())
            self.edge.fleet.shedding = self.admission.sheds
            self.edge.fleet.retries_per_second = self.admission.further
            self.share_trials()
        self.edge.after(UPDATE_EVERY, self.update, None)

    def share_trials(self) -> None:
        """Tell others what the module found of workers, and the module what others found."""
        now, me, found = self.edge.clock(), self.verdicts.me, self.verdicts.findings
        members = self.endpoint.members
        members_by_name = [me, *(m.name for m in members.live())] if members.size else [me]
        if members_by_name != self.drawn_from:
            self.drawn_from, self.probers_of = members_by_name, {}
        workers = self.edge.host.module.serving
        self.verdicts.keep(worker.name for worker in workers)
        for worker in workers:
            told = found.get(worker.name)
            if worker.suspect and told is not None and told.fit and told.by != me:
                self.edge.host.vouched(worker, told.at)
            if worker.suspect and worker not in self.announced:
                self.verdicts.record(worker.name, False, now)
                self.announced.add(worker)
            elif not worker.suspect and worker in self.announced:
                self.announced.discard(worker)
                if told is not None and told.by == me:  # else it was others that found it fit
                    self.verdicts.record(worker.name, True, now)
            if worker.suspect:
                names = self.probers_of.get(worker.name) or probers(worker.name, members_by_name)
                self.probers_of[worker.name] = names
                worker.trial = me in names
        self.announced &= set(workers)

    def admit(self, method: int, customer: int, repeat: bool, key: str) -> int | None:
        """As `AdmissionController.admit`."""
        if not self.fleet.shed:
            return None
        return self.admission.admit(method, customer, repeat, key, self.edge.clock())

    def loads_shown(self, now: int) -> dict[str, int] | None:
        """For operators; None where the fleet shares no loads."""
        if self.endpoint.lending is None:
            return None
        of = self.endpoint.lending.allowance
        lent, had = of.lent_units(), sum(loan.units for loan in of.borrowed.values())
        return {"may": of.part(now), "cut": of.cut, "lent": lent, "borrowed": had,
                "under way": self.loading()}  # fmt: skip

    def show(self) -> dict[str, Any]:
        """For operators (`lapistrestle fleet show --json`)."""
        endpoint, members, now = self.endpoint, self.endpoint.members, self.edge.clock()
        return {
            "name": members.me.name, "fleet": self.fleet.name, "standing": members.state.name.lower(),
            "doubt": members.health.score, "size": members.size, "door": self.admission.show(),
            "loads": self.loads_shown(now),
            "datagrams": {"sent": endpoint.sent, "bytes": endpoint.sent_bytes, "came": endpoint.came,
                          "refused": endpoint.refused + self.admission.digests.refused},
            "members": [
                {"name": m.name, "zone": m.claim.zone, "port": m.claim.port, "is": m.rank.name.lower(),
                 "for ms": (now - m.since) / 10, "incarnation": m.claim.incarnation,
                 "accused by": sorted(m.accusers),
                 "heard ms ago": (now - m.heard) / 10 if m.heard >= 0 else None}
                for _, m in sorted(members.members.items())
            ],
        }  # fmt: skip
