"""The edge without its ways in and out: one module instance, its clock and timers, the workers it may reach.

It is given a front (clients), a way to speak to runners and sources of the list; each set is one protocol.
"""

import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from lapistrestle.choice import Dispatcher
from lapistrestle.edge.linking import PROMPT
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import Attempt, PendingRequest, WorkerTask
from lapistrestle.hosting.timers import Timer
from lapistrestle.hosting.turns import Turns
from lapistrestle.interface import Facts, FnFacts, Listing, Outcome, SrvFacts

Log = Callable[..., None]
TENTHS = 10_000  # of a millisecond in a second
LATE = 200  # tenths of a millisecond since the look before: a close may lie behind what is read
PIECES = 4  # a whole request with the longest body, and what follows it
NOT_BEGUN = "not begun"  # the log line and counter of what the list or its client forbade
MOST_LOGGED = 100  # lines of one kind
LAST = 300  # tenths of a millisecond: for answers to leave once all is cut short


class Front(Protocol):
    """Where clients come in."""

    def listen(self) -> int: ...  # the port
    def close(self) -> None: ...  # take no new connections
    def open(self) -> list[PendingRequest]: ...
    def owes(self) -> bool: ...  # once stopping: answers that have not left, or what has come and is not read
    def end(self) -> None: ...  # leave every connection


class RunnerHandle(Protocol):
    """How one runner is spoken to. `address` tells it from another process under its name. What it is asked
    to do takes as its `connection` whoever can withdraw it."""

    address: Any

    def named(self) -> None: ...  # it is on the list now
    def dropped(self) -> None: ...  # it is gone: what is out may still end
    def hold_back(self) -> None: ...  # it drains: what waits to be written is not sent
    def run(self, attempt: Attempt) -> None: ...
    def hold(self, task: WorkerTask) -> None: ...
    def unload(self, fn: str) -> None: ...
    def probe(self, task: WorkerTask) -> None: ...
    def end(self) -> None: ...  # leave it at once


class ListSource(Protocol):
    """Who tells the list of workers."""

    def start(self) -> None: ...
    def follow(self) -> None: ...
    def stop(self) -> None: ...
    def read_now(self) -> None: ...  # what lies unread of it
    def is_current(self) -> bool: ...  # whether new work may still begin by what it told last


class Core:
    """One front end on one reactor, whose clock must be monotonic: one set back would hold the timers."""

    def __init__(
        self, reactor: Any, name: str, facts: Facts, log: Log, seed: int, slack: int = 0,
        make: Callable[..., Any] = Dispatcher, prompt: int = PROMPT,
    ) -> None:  # fmt: skip
        """`prompt`: tenths of a millisecond that an order may wait for its connection."""
        self.reactor, self.name, self.log = reactor, name, log
        self.facts: dict[str, Any] = {**facts, "order_lag": prompt}
        self.runners: dict[str, Any] = {}
        self.listings: dict[str, Listing] = {}  # of the workers that lists name, as last read
        self.lists_read_at = -LATE - 1  # when what lay unread of the lists was last read
        self.counts = dict.fromkeys(("turned away", "unreadable", "passed over", NOT_BEGUN), 0)
        self.stopping = False
        self.dials_when_used = False  # runners only when something is sent there, else when they are listed
        self.stopped: Callable[[], None] | None = None
        self.patience: int | None = None  # once cut short: until when answers may still leave
        self.heard = 0  # inputs so far
        self.turns, self.next_turn, self.turn_at = Turns(), None, -1
        self.front: Front
        self.make_runner: Callable[[str, Any, str], RunnerHandle]
        self.sources: list[ListSource] = []
        self.host = ModuleHost(self, self.facts, seed, self.clock, slack, make)
        if hasattr(reactor, "around"):
            reactor.around = self.host.batched

    def clock(self) -> int:
        return int(self.reactor.seconds() * TENTHS + 0.001)  # 0.3 ms must not read as 2.99 tenths

    def came(self) -> int:
        """The earliest moment at which what is read now may have come: a program that stood still reads late,
        and by the sockets' count its RPCs are older than by its own."""
        looked = getattr(self.reactor, "looked", None)
        return self.clock() if looked is None else int(looked[0] * TENTHS)

    def unread_for(self, sock: socket.socket) -> int:
        """How long what is read now lay in its socket, in tenths of a millisecond, as far as the kernel
        tells: a client counts its time from when it sent, also while the program stood still."""
        age, longest = getattr(self.reactor, "unread_for", None), self.since_look()
        if age is None or not longest:
            return 0
        return min(longest, int(age(sock) * TENTHS))

    def since_look(self) -> int:
        """How long what is read now may have lain unread at the most; 0 unless the program stood still."""
        longest = self.clock() - self.came()
        return longest if longest > LATE else 0

    def pieces(self) -> int:
        """How many pieces of one connection are read at once: all that there are, within bounds, after a
        standstill. One that ends, and what it brought before, are then met in the same look."""
        return PIECES if self.clock() - self.came() > LATE else 1

    def start(self) -> int:
        """Listen, and follow the list. Returns the port."""
        port = self.front.listen()
        for source in self.sources:
            source.start()
        self.log("listening", port=port, edge=self.name)
        return port

    # turns and timers

    def input(self) -> None:
        self.heard += 1

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = self.host.timers.at(self.clock() + delay, call, arg)
        self.wake()
        return timer

    def wake(self) -> None:
        """Have the reactor call `turn` when the next timer is due."""
        due = self.host.timers.next()
        if due is None or (self.next_turn is not None and self.turn_at <= due):
            return
        if self.next_turn is not None:
            self.next_turn.cancel()
        self.turn_at = due
        self.next_turn = self.reactor.callLater(max(0.0, due / TENTHS - self.reactor.seconds()), self.turn)

    def turn(self) -> None:
        self.next_turn = None
        due, now = self.host.timers.next(), self.clock()
        if due is not None and due <= now:
            if not self.turns.may_fire(now, due, self.heard):
                self.turn_at = due
                self.next_turn = self.reactor.callLater(0, self.turn)
                return
            self.host.fire_timers()
        self.wake()

    # what may begin

    def may_begin(self, work: Attempt | WorkerTask, runner: RunnerHandle) -> bool:
        """Asked just before the first byte of an attempt or of an order to load leaves for a runner: rule 3
        binds there, whatever the module had heard when it decided, and so does what its client did since."""
        self.read_lists()
        name = work.srv.name
        serves = self.runners.get(name) is runner and self.serves(name)
        if serves and (isinstance(work, WorkerTask) or self.is_wanted(work)):
            return True
        self.refused(work)
        return False

    def read_lists(self) -> None:
        """Read what lies unread of the lists, unless that was done within LATE: after a standstill a drain
        that counts as told may lie there. One system call in LATE is all that a calm day pays."""
        now = self.clock()
        if now - self.lists_read_at <= LATE:
            return
        self.lists_read_at = now
        for source in self.sources:
            source.read_now()

    def serves(self, name: str) -> bool:
        """Whether the list as last read has a worker take new work, and is recent enough to go by."""
        return self.listings.get(name) is Listing.SERVING and all(s.is_current() for s in self.sources)

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for an attempt that has not begun, with time left for it."""
        pending = attempt.pending
        if not pending.final:
            pending.client.read_now()
        return not pending.final and attempt.ends_by > self.clock()

    def refused(self, work: Attempt | WorkerTask) -> None:
        """Count what was not begun, and log the first ones with what the list says."""
        self.counts[NOT_BEGUN] += 1
        if self.counts[NOT_BEGUN] <= MOST_LOGGED:
            listing = self.listings.get(work.srv.name, Listing.GONE).name.lower()
            self.log(NOT_BEGUN, runner=work.srv.name, listing=listing, number=work.number)

    # the list and the runners

    def listed(self, told: Sequence[SrvFacts], whole: bool) -> None:
        """A list or a change of it was read. Nothing new begins against it from now on; the module hears of
        it before whatever else waits to be told."""
        if whole:
            self.listings.clear()
        self.listings.update((facts_.name, facts_.listing) for facts_ in told)
        self.host.listed(told, whole)

    def address(self, name: str, address: Any, start: str = "") -> None:
        """A runner listens here now. At another address it is another process; the old way ends its calls."""
        runner = self.runners.get(name)
        if runner is not None and (not address or runner.address != address):
            del self.runners[name]
            runner.dropped()
            runner = None
        if runner is None and address and not self.stopping and not self.dials_when_used:
            runner = self.runners[name] = self.make_runner(name, address, start)
            runner.named()

    def runner(self, name: str) -> Any:
        """The runner that something is to be sent to; `None` if it is not there."""
        return self.runners.get(name)

    def held_back(self, told: Sequence[SrvFacts]) -> None:
        """Lines that wait for a runner that drains are not sent later: rule 3 binds at the socket."""
        for facts_ in told:
            if facts_.listing is not Listing.SERVING and facts_.name in self.runners:
                self.runners[facts_.name].hold_back()

    def passed_over(self, name: str, why: str) -> None:
        self.counts["passed over"] += 1
        if self.counts["passed over"] <= MOST_LOGGED:
            self.log("passed over", peer=name, why=why[:200])

    # what the host asks (hosting.transport)

    def answer(self, pending: PendingRequest, verdict: str, come_back: int, body: Any) -> None:
        pending.client.answer(pending, verdict, come_back, body)

    def closed(self, pending: PendingRequest, how: str) -> None: ...

    def stream(self, pending: PendingRequest) -> None: ...

    def run(self, attempt: Attempt) -> None:
        self.read_lists()
        if not self.serves(attempt.srv.name):
            self.refused(attempt)
            return self.host.ended(attempt.number, Outcome.MOOT)
        runner = self.runner(attempt.srv.name)
        if runner is None:
            return self.host.ended(attempt.number, Outcome.UNREACHABLE)
        runner.run(attempt)

    def withdraw(self, task: Attempt | WorkerTask, tell: bool) -> bool:
        return task.connection is not None and task.connection.withdraw(task.number, tell)

    def cancel_unsent(self, attempt: Attempt) -> bool:
        return attempt.connection is not None and attempt.connection.cancel_unsent(attempt.number)

    def hold(self, task: WorkerTask) -> None:
        self.read_lists()
        if task.count and not self.serves(task.srv.name):
            self.refused(task)
            return self.host.ordered(task.number, Outcome.MOOT, 0)
        runner = self.runner(task.srv.name)
        if runner is None:
            return self.host.ordered(task.number, Outcome.UNREACHABLE, 0)
        runner.hold(task)

    def unload(self, srv: SrvFacts, fn: FnFacts) -> None:
        if runner := self.runner(srv.name):
            runner.unload(fn.name)

    def probe(self, task: WorkerTask) -> None:
        runner = self.runner(task.srv.name)
        if runner is None:
            return self.host.probed(task.number, Outcome.UNREACHABLE, {})
        runner.probe(task)

    def tell_peer(self, peer: int | None, text: str) -> None: ...

    def follow_list(self) -> None:
        for source in self.sources:
            source.follow()

    def more(self, fn: FnFacts) -> None: ...

    # the end

    def stop(self, stopped: Callable[[], None]) -> None:
        """Take nothing new and finish what is out; a second call answers all of it as aborted at once, and
        waits a little for answers to leave."""
        if self.stopping:
            self.host.abort_all(self.front.open())
            self.patience = self.clock() + LAST if self.patience is None else self.patience
            return self.look()
        self.stopping, self.stopped = True, stopped
        self.log("stopping", open=self.host.open)
        self.front.close()
        self.look()

    def look(self, _: object = None) -> None:
        """Whether all is over: what came until now has its answer, and that has left."""
        late = self.patience is not None and self.clock() >= self.patience
        if late or not (self.host.open or self.front.owes()):
            return self.finish()
        self.after(100, self.look, None)

    def finish(self) -> None:
        stopped, self.stopped = self.stopped, None
        if stopped is None:
            return
        self.log("stopped", **self.host.counts, **self.counts)
        for source in self.sources:
            source.stop()
        self.front.end()
        for runner in self.runners.values():
            runner.end()
        stopped()
