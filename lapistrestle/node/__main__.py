"""`python -m lapistrestle.node`: one dispatcher of the platform, in the foreground."""

import os
import signal
import sys

from lapistrestle.edge.reactor import monotonic_reactor, run
from lapistrestle.node.configuration import ConfigurationError, configuration_from_environment
from lapistrestle.node.program import Node
from lapistrestle.records.json_log import make_log


def main() -> int:
    """Run the dispatcher until it is told to end. Returns the exit status."""
    try:
        configuration = configuration_from_environment(os.environ)
    except ConfigurationError as error:
        print(f"lapistrestle: {error}", file=sys.stderr)
        return 2
    reactor = monotonic_reactor()
    node = Node(reactor, configuration, make_log(edge=configuration.file.name))
    failed: list[int] = []

    def begin() -> None:
        """Start; if the address can't be bound, end the program with status 1."""
        try:
            node.start()
        except OSError as error:
            print(
                f"lapistrestle: can't listen at {configuration.file.listen}: {error.strerror}",
                file=sys.stderr,
            )
            failed.append(1)
            reactor.stop()

    def reload() -> None:
        """SIGHUP."""
        node.reload(lambda: configuration_from_environment(os.environ))

    def shut_down() -> None:
        """SIGTERM and SIGINT."""
        node.shut_down(reactor.stop)

    run(reactor, begin, {signal.SIGHUP: reload, signal.SIGTERM: shut_down, signal.SIGINT: shut_down})
    return failed[0] if failed else 0


if __name__ == "__main__":
    sys.exit(main())
