"""`python -m lapistrestle.node`: one dispatcher of the platform, in the foreground."""

import gc
import os
import signal
import sys
import time
from typing import Any

from lapistrestle.node.place import ADDRESS, Place, Wrong, fields_of, read
from lapistrestle.node.program import Node
from lapistrestle.records.lean import make_log


def reactor_of_now() -> Any:
    """Twisted's reactor on the monotonic clock: the machine's time may be set while we run."""
    from twisted.internet import reactor

    made: Any = reactor
    made.seconds = time.monotonic
    return made


def place_of_now() -> Place:
    path, listen, name = fields_of(os.environ)
    place = read(path)
    if listen and not ADDRESS.fullmatch(listen):
        raise Wrong(f"EDGE_LISTEN is {listen!r}; expected an address and a port, such as 10.0.0.4:10080")
    place.file.listen = listen or place.file.listen
    place.file.name = name or place.file.name
    return place


def main() -> int:
    try:
        place = place_of_now()
    except Wrong as trouble:
        print(f"lapistrestle: {trouble}", file=sys.stderr)
        return 2
    reactor = reactor_of_now()
    node = Node(reactor, place, make_log(edge=place.file.name))
    failed: list[int] = []

    def begin() -> None:
        try:
            node.start()
        except OSError as trouble:
            print(f"lapistrestle: can't listen at {place.file.listen}: {trouble.strerror}", file=sys.stderr)
            failed.append(1)
            reactor.stop()

    def reload() -> None:
        try:
            node.renewed(place_of_now())
        except Wrong as trouble:
            node.core.log("configuration refused, the old one holds", why=str(trouble))

    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(node.leave, reactor.stop))
    # What stands at the start is never garbage, and full collections hold every RPC up: they come rarely.
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return failed[0] if failed else 0


if __name__ == "__main__":
    sys.exit(main())
