"""Estimates of the length of encoded messages, without encoding them."""

from collections.abc import Iterable

from lapistrestle.wire.directory import Instance, Snapshot, Update

# bytes of JSON in addition to the names
LINE_BYTES = 110
ENTRY_BYTES = 40
CHANGE_BYTES = 45
NAME_BYTES = 28
QUOTES_BYTES = 3  # two quotes and a comma


def entries_bytes(entries: Iterable[Instance]) -> int:
    """Estimated bytes of a list of instances on the wire."""
    size = 0
    for entry in entries:
        size += ENTRY_BYTES + len(entry.name) + len(entry.zone) + len(entry.kind) + len(entry.start)
    return size


def line_bytes(message: Snapshot | Update) -> int:
    """Estimated bytes of a message on the wire."""
    size = LINE_BYTES + entries_bytes(message.entries)
    if isinstance(message, Update):
        size += sum(len(name) + QUOTES_BYTES for name in message.gone)
        for change in message.changes:
            size += CHANGE_BYTES + sum(len(name) + QUOTES_BYTES for name in change.removed)
            size += sum(len(placed.name) + NAME_BYTES for placed in change.inserted)
    return size
