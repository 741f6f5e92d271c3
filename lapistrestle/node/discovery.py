"""Service discovery on the platform: watches the notice board and applies its events to the worker list.

Events are applied once and in the order of their revisions. A gap, bad data or silence leads to a new watch
from the revision of the last event applied. `freshness` decides how long the list may be used without news.
Times are ticks of 0.1 ms.
"""

import time
from collections.abc import Sequence

from lapistrestle.deployment import translation
from lapistrestle.edge.core import Core
from lapistrestle.node.addresses import RunnerAddresses
from lapistrestle.node.configuration import Configuration, KnownEndpoints, RunnerEntry, split_address
from lapistrestle.node.freshness import ListFreshness
from lapistrestle.node.notices import STATES, Frame, FrameKind, Record
from lapistrestle.node.revisions import FRAME_ACTIONS, FrameAction, order_of
from lapistrestle.node.start_times import StartTimes
from lapistrestle.node.streams import dial
from lapistrestle.node.watch import Watch
from lapistrestle.policy.types import EndpointGap, EndpointState, WorkerInfo
from lapistrestle.ticks import SECOND

HEARTBEAT_TIMEOUT = 22_000  # two heartbeats were missed
FIRST_FRAME_TIMEOUT = 12_000  # on a new watch, the first heartbeat was missed
CHECK_INTERVAL = HEARTBEAT_TIMEOUT // 8
RECONNECT_PAUSE = 1_000
CONNECT_TIMEOUT = 5_000


class ServiceDiscovery:
    """Watches the board at one address, and applies its events to the core's worker list."""

    def __init__(self, core: Core, configuration: Configuration) -> None:
        self.core = core
        self.configuration = configuration
        self.address = configuration.file.board
        self.revision = 0  # of the last event applied
        now = core.clock()
        age = configuration.age(time.time())
        grace = core.settings.drain_grace
        # a list of unknown age is not usable until the board answers
        self.freshness = ListFreshness(grace, now - 1 if age is None else now - age + grace)
        self.was_recent = False  # the last result of `is_recent`
        self.watch: Watch | None = None
        self.stopped = False
        self.reconnects_at_once = True
        self.start_times = StartTimes(int(time.time() * SECOND) - core.clock())
        self.zones = {name: i for i, name in enumerate(configuration.platform.zones)}
        self.kinds = {name: i for i, name in enumerate(configuration.platform.models)}
        self.addresses = RunnerAddresses()

    def ready(self) -> bool:
        """Whether there is a list that is recent enough for new work."""
        self.core.work_gate.read_lists()
        return self.revision > 0 and self.is_current()

    def start(self) -> None:
        """Apply the list in the configuration, and start to watch the board."""
        self.apply_known(self.configuration.file.known)
        self.core.after(HEARTBEAT_TIMEOUT, self.check_heartbeat, None)
        self.connect()

    def follow(self) -> None:
        """Do nothing: the board is always watched."""

    def read_now(self) -> None:
        """Process unread data of the watch."""
        if self.watch is not None and not self.watch.dialling:
            self.watch.read_on()

    def is_current(self) -> bool:
        """Whether new work may start by the list: no received event is unread, and it is recent enough.

        An unread event may drain any worker.
        """
        has_unread_events = self.watch is not None and self.watch.is_behind
        return not has_unread_events and self.is_recent()

    def gap(self) -> EndpointGap | None:
        """The events that the board may have told and that are not applied; none without a board."""
        return None if self.address is None else self.freshness.gap()

    def is_recent(self) -> bool:
        """Whether the list is recent enough for new work; a change of that is logged."""
        now = self.core.clock()
        # without a board no events can be missed
        usable = self.address is None or self.freshness.is_usable(now)
        if usable is not self.was_recent:
            self.was_recent = usable
            event = "list usable" if usable else "list too old for new work"
            self.core.log(event, revision=self.revision, overdue=now - self.freshness.usable_until)
        return usable

    def stop(self) -> None:
        """End the watch, and start no other."""
        self.stopped = True
        if self.watch is not None:
            self.watch.drop("the dispatcher ends")

    def apply_known(self, known: KnownEndpoints) -> None:
        """Apply the events of a configuration that are later than those received.

        As from the board, these may be a complete list or the next change: no event may be skipped.
        """
        for notice in known.notices:
            order = order_of(notice.revision, self.revision)
            kind = FrameKind.SNAPSHOT if notice.pool.is_complete else FrameKind.DELTA
            if not self.revision or FRAME_ACTIONS[kind, order] is FrameAction.APPLY:
                complete_until = self.complete_until()
                self.revision = notice.revision
                records = [self.record(entry) for entry in notice.pool.runners]
                self.apply(records, notice.pool.is_complete, complete_until)

    def move_to(self, address: str | None) -> None:
        """Watch the board at another address from now on."""
        if address is None or address == self.address:
            return
        self.core.log("board moves", to=address, revision=self.revision)
        self.address = address
        self.freshness.board_moved(self.core.clock())
        if self.watch is not None:
            self.watch.drop("the board is elsewhere")
        else:
            self.connect()

    def connect(self, _: object = None) -> None:
        """Start a watch, unless there is one."""
        if self.stopped or self.watch is not None or self.address is None:
            return
        try:
            self.watch = Watch(self, dial(*split_address(self.address)))
        except OSError:
            self.core.after(RECONNECT_PAUSE, self.connect, None)
            return
        self.core.after(CONNECT_TIMEOUT, self.watch.connect_timed_out, None)
        self.watch.start()

    def watch_lost(self, watch: Watch, reason: str) -> None:
        """Connect again: at once after a watch that delivered events, else after a pause."""
        if self.watch is not watch:
            return
        self.watch = None
        if not watch.dialling:
            self.freshness.watch_broke(self.core.earliest_arrival())
        if not self.stopped:
            if not watch.dialling:  # further failures to connect are not logged
                self.core.log("board lost", reason=reason, revision=self.revision)
            self.core.after(1 if self.reconnects_at_once else RECONNECT_PAUSE, self.connect, None)
            self.reconnects_at_once = False

    def ask_again(self, watch: Watch) -> None:
        """Start another watch if this one has missed events and no heartbeat yet, and the list is too old.

        A board that has no later event sends a heartbeat as soon as it is asked, but the next heartbeat of
        this watch, until which all requests would be rejected, may be a second away.
        """
        is_too_old = not self.freshness.is_usable(self.core.clock())
        if self.watch is watch and is_too_old and not self.freshness.is_caught_up:
            watch.drop("asks again for a heartbeat")

    def check_heartbeat(self, _: object) -> None:
        """Drop a watch that has been silent for too long."""
        watch = self.watch
        time_out = HEARTBEAT_TIMEOUT if watch is not None and watch.is_answered else FIRST_FRAME_TIMEOUT
        if watch is not None and not watch.dialling and self.core.clock() - watch.last_received >= time_out:
            watch.drop("silence")
        if not self.stopped:
            self.core.after(CHECK_INTERVAL, self.check_heartbeat, None)

    def receive(self, frame: Frame, arrived_at: int) -> FrameAction:
        """Handle a complete frame, which arrived at this tick. Returns what was done with it."""
        action = FRAME_ACTIONS[frame.kind, order_of(frame.revision, self.revision)]
        complete_until = self.complete_until()
        if action is FrameAction.RESUME:
            self.freshness.event_missed(self.core.clock())
        elif frame.kind is FrameKind.HEARTBEAT:
            self.freshness.heartbeat_received(arrived_at)
        else:
            self.freshness.event_received(arrived_at)
        if action is FrameAction.APPLY:
            self.reconnects_at_once = True
            self.revision = frame.revision
            self.apply(frame.records, frame.kind is FrameKind.SNAPSHOT, complete_until)
        return action

    def complete_until(self) -> int | None:
        """The tick until which no event is missing; None: no list was applied yet."""
        return self.freshness.complete_until if self.revision else None

    def apply(self, records: Sequence[Record], whole: bool, complete_until: int | None) -> None:
        """Apply records, or a complete list (`whole`), to the module's workers and the runners' addresses.

        No event before `complete_until` was missing without these; None: they are the first list. It happens
        without a return to the reactor: lines queued to draining runners are discarded with it.
        """
        workers = tuple(self.worker_info(record, complete_until) for record in records)
        self.core.endpoints_received(workers, whole)
        if whole:
            listed = {record.name for record in records}
            for name in [name for name in self.core.runners if name not in listed]:
                self.set_address(name, None)
        # by the list before this event: of its own records, several may have one address
        previous_names = [self.addresses.latest_at(record.address) for record in records]
        for record, previous in zip(records, previous_names, strict=True):
            gone = record.listing is EndpointState.REMOVED
            if previous is not None and previous != record.name and not gone:
                self.set_address(previous, None)  # its process is gone, reported or not
            self.set_address(record.name, None if gone else (record.address, record.started))

    def set_address(self, name: str, address: tuple[str, int] | None) -> None:
        """Pass a runner's address and start on to the core; None: it has left the list."""
        before = self.core.runner(name)
        self.core.address_received(name, address)
        runner = self.core.runner(name)
        if runner is before:
            return
        if before is not None:
            self.addresses.remove(name, before.address[0])
        if runner is not None:
            self.addresses.add(name, runner.address[0])

    def worker_info(self, record: Record, complete_until: int | None) -> WorkerInfo:
        """The module's description of a record's worker."""
        now = self.core.clock()
        booted = self.start_times.tick_of(record.name, record.started, now, complete_until)
        return WorkerInfo(
            record.name, record.zone, record.cell, record.kind, record.weight / 1000, record.listing, booted
        )

    def record(self, entry: RunnerEntry) -> Record:
        """The record of an entry of the file, where zones, kinds and states have names."""
        host, port = split_address(entry.address)
        number = 0
        for part in host.split("."):
            number = number << 8 | int(part)
        state = STATES[translation.ENDPOINT_STATES.get(entry.state, EndpointState.DRAINING)]
        zone, kind = self.zones.get(entry.zone, 0), self.kinds.get(entry.kind, 0)
        weight, started = round(entry.weight * 1000), int(entry.started_ms)
        return Record(int(entry.id[2:], 16), number, port, state, zone, kind, entry.cell, weight, started)
