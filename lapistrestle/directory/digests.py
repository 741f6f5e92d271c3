"""A short mark of all that a prefix tells, so that a holder and a watcher see whether they have the same."""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from lapistrestle.wire.directory import DIGEST_BYTES, Instance
from lapistrestle.wire.messages import RosterEntry


def undated(entry: RosterEntry) -> Instance:
    """As it crosses the wire, without the time since its start, which differs each time it is sent."""
    return Instance(
        entry.name, entry.port, entry.zone, entry.cell, entry.kind, entry.size, entry.listing, entry.start
    )


def digest_of(entries: Iterable[RosterEntry], complete: bool) -> str:
    """Covers the order, every field of each entry but `up_for`, and whether the prefix is the complete order.

    8 bytes of BLAKE2b as hexadecimal digits: two prefixes of one function share it by chance once in 2^64.
    """
    encoded = msgspec.json.encode(([undated(entry) for entry in entries], complete))
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
