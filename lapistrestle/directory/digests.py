"""Digest of a prefix, by which a holder and a watcher see whether they have the same one."""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from lapistrestle.wire.directory import DIGEST_BYTES, Instance
from lapistrestle.wire.messages import RosterEntry


def without_up_for(entry: RosterEntry) -> Instance:
    """The entry as encoded on the wire, without `up_for`, which differs each time it is sent."""
    return Instance(
        entry.name, entry.port, entry.zone, entry.cell, entry.kind, entry.size, entry.listing, entry.start
    )


def digest_of(entries: Iterable[RosterEntry], complete: bool) -> str:
    """Digest of the entries in order, without `up_for`, and of whether the prefix is the complete order.

    8 bytes of BLAKE2b in hexadecimal: two prefixes of one function collide with a probability of 2^-64.
    """
    encoded = msgspec.json.encode(([without_up_for(entry) for entry in entries], complete))
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
