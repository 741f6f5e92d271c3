"""What is done with a frame of the notice board, by its kind and its revision. No I/O."""

from enum import Enum

from lapistrestle.node.notices import FrameKind

RevisionOrder = Enum("RevisionOrder", "REPEATED NEXT GAP")
FrameAction = Enum("FrameAction", "IGNORE APPLY RESUME")

# what is done with a frame, by its kind and the order of its revision relative to the last one applied
FRAME_ACTIONS: dict[tuple[FrameKind, RevisionOrder], FrameAction] = {
    (FrameKind.HEARTBEAT, RevisionOrder.REPEATED): FrameAction.IGNORE,
    (FrameKind.HEARTBEAT, RevisionOrder.NEXT): FrameAction.RESUME,  # an event was missed
    (FrameKind.HEARTBEAT, RevisionOrder.GAP): FrameAction.RESUME,
    (FrameKind.SNAPSHOT, RevisionOrder.REPEATED): FrameAction.IGNORE,
    (FrameKind.SNAPSHOT, RevisionOrder.NEXT): FrameAction.APPLY,
    (FrameKind.SNAPSHOT, RevisionOrder.GAP): FrameAction.APPLY,  # it includes what was missed
    (FrameKind.DELTA, RevisionOrder.REPEATED): FrameAction.IGNORE,
    (FrameKind.DELTA, RevisionOrder.NEXT): FrameAction.APPLY,
    (FrameKind.DELTA, RevisionOrder.GAP): FrameAction.RESUME,
}


def order_of(revision: int, last: int) -> RevisionOrder:
    """The order of a revision relative to the last one applied."""
    if revision <= last:
        return RevisionOrder.REPEATED
    return RevisionOrder.NEXT if revision == last + 1 else RevisionOrder.GAP
