"""An edge's part in its fleet: the talk with other edges, and the door that goes by what they say."""

from typing import Any

from lapistrestle.deployment.shape import Fleet
from lapistrestle.fleet.talk import Talk
from lapistrestle.overload.door import LOOK, Door


class Together:
    """Made only where the deployment names a fleet. `boot` grows with each start, `nonce` differs at each."""

    def __init__(self, edge: Any, fleet: Fleet, boot: int, nonce: int) -> None:
        self.edge, self.fleet = edge, fleet
        place = edge.deployment.dispatcher
        facts = {
            "fleet": fleet.name,
            "port": fleet.port,
            "told_port": fleet.told_port,
            "period": int(fleet.period),
            "direct": int(fleet.period) * 3 // 10,
            "seeds": tuple(("127.0.0.1", port) for port in fleet.seeds),
        }
        self.talk = Talk(edge, facts, place.name, place.zone, boot, nonce, place.seed)
        told = {"tell": int(fleet.tell), "refresh": 2 * int(fleet.tell)}
        life = self.talk.members.me.life
        self.door = Door(edge.facts, life, told, place.seed, self.talk.log, edge.clock())
        if fleet.shed:
            self.talk.digests = self.door.digests

    def start(self) -> None:
        self.talk.start()
        self.look()

    def look(self, _: object = None) -> None:
        if self.fleet.shed and not self.edge.stopping:
            self.door.look(self.talk.present, self.talk.members.size, self.edge.clock())
            self.edge.facts["shedding"] = self.door.sheds  # the module's map is the edge's
            self.edge.after(LOOK, self.look, None)

    def gate(self, method: int, customer: int, repeat: bool, key: str) -> int | None:
        """As `Door.gate`."""
        if not self.fleet.shed:
            return None
        return self.door.gate(method, customer, repeat, key, self.edge.clock())

    def show(self) -> dict[str, Any]:
        members, now = self.talk.members, self.edge.clock()
        return {
            "name": members.me.name, "fleet": self.fleet.name, "standing": members.standing.name.lower(),
            "doubt": members.doubt, "size": members.size, "door": self.door.show(),
            "datagrams": {"sent": self.talk.sent, "bytes": self.talk.sent_bytes, "came": self.talk.came,
                          "refused": self.talk.refused + self.door.digests.refused},
            "members": [
                {"name": m.name, "zone": m.claim.zone, "port": m.claim.port, "is": m.rank.name.lower(),
                 "for ms": (now - m.since) / 10, "incarnation": m.claim.incarnation,
                 "accused by": sorted(m.accusers),
                 "heard ms ago": (now - m.heard) / 10 if m.heard >= 0 else None}
                for _, m in sorted(members.members.items())
            ],
        }  # fmt: skip
