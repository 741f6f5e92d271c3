"""One connection to the notice board. Times are ticks of 0.1 ms."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from lapistrestle.edge.core import EVENTS_LEFT_UNREAD
from lapistrestle.node.notices import Frame, FrameDecoder, FrameError
from lapistrestle.node.revisions import FrameAction
from lapistrestle.node.streams import MAX_READS, Stream

if TYPE_CHECKING:
    from lapistrestle.node.discovery import ServiceDiscovery

ASK_AGAIN_DELAY = 1_000  # after the first missed event; a board sends its missed events in one go
MAX_READ_TIME = 0.2  # seconds of reading and applying events at once, after which others get their turn
PROGRESS_BYTES = 1_024  # a read of this size counts as a sign of life: part of a long snapshot


class Watch(Stream):
    """One connection to the board, which sends the events after a given revision."""

    def __init__(self, discovery: "ServiceDiscovery", sock: Any) -> None:
        super().__init__(discovery.core.reactor, sock, dialled=True)
        self.discovery = discovery
        self.decoder = FrameDecoder()
        self.last_received = discovery.core.clock()
        self.is_answered = False  # a frame was received
        self.will_ask_again = False  # `ask_again` is scheduled, or was called
        self.is_behind = False  # `read_on` left received data unread

    def doRead(self) -> None:
        """The socket is readable."""
        if self.read(self.reads_per_poll()):
            self.is_behind = False

    def read_on(self) -> None:
        """Read all data that the socket has, within MAX_READ_TIME; then the rest is left to later polls."""
        if not self.is_behind:
            self.is_behind = not self.read(MAX_READS, MAX_READ_TIME)
            if self.is_behind:
                self.discovery.core.count_and_log(EVENTS_LEFT_UNREAD, revision=self.discovery.revision)

    def connected(self) -> None:
        """Request the events after the last one applied."""
        self.last_received = self.discovery.core.clock()
        self.discovery.freshness.watch_started(self.last_received)
        self.send(self.discovery.revision.to_bytes(8, "big"))

    def received(self, data: bytes) -> None:
        """Process received data: complete frames are applied."""
        failure = ""
        try:
            self.decoder.feed(data)
        except FrameError as error:
            failure = str(error)
        frames = self.decoder.frames
        # a few bytes without a complete frame are no sign of life: the frame may never end
        if frames or len(data) >= PROGRESS_BYTES:
            self.last_received = self.discovery.core.clock()
        if frames:
            self.is_answered = True
            self.apply_frames(frames)
        if failure:
            self.drop(failure)

    def apply_frames(self, frames: Sequence[Frame]) -> None:
        """Apply frames in order, up to one that shows that an event was missed."""
        core = self.discovery.core
        arrived_at = self.last_received - core.unread_for(self.sock, core.max_unread_time())
        for frame in frames:
            action = self.discovery.receive(frame, arrived_at)
            if action is FrameAction.RESUME:
                self.drop("a gap in the revisions")
                return
            if action is FrameAction.APPLY and not self.discovery.freshness.is_caught_up:
                self.schedule_ask_again()

    def schedule_ask_again(self) -> None:
        """Have the board asked again after a delay, once for this watch."""
        if not self.will_ask_again:
            self.will_ask_again = True
            self.discovery.core.after(ASK_AGAIN_DELAY, self.discovery.ask_again, self)

    def lost(self, reason: str) -> None:
        """Handle the loss of the connection."""
        self.discovery.watch_lost(self, reason)
