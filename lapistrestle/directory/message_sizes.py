"""About how long encoded messages are, without encoding them."""

from collections.abc import Iterable

from lapistrestle.wire.directory import Instance, Snapshot, Update

LINE_BYTES, ENTRY_BYTES, CHANGE_BYTES, NAME_BYTES = 110, 40, 45, 28  # of JSON around the names themselves


def entries_bytes(entries: Iterable[Instance]) -> int:
    """Of a list of instances."""
    size = 0
    for entry in entries:
        size += ENTRY_BYTES + len(entry.name) + len(entry.zone) + len(entry.kind) + len(entry.start)
    return size


def line_bytes(message: Snapshot | Update) -> int:
    """Of a whole line."""
    size = LINE_BYTES + entries_bytes(message.entries)
    if isinstance(message, Update):
        size += sum(len(name) + 3 for name in message.gone)
        for change in message.changes:
            size += CHANGE_BYTES + sum(len(name) + 3 for name in change.removed)
            size += sum(len(placed.name) + NAME_BYTES for placed in change.inserted)
    return size
