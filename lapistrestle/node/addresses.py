"""The listed runners by address: a new runner may have the address of one that has gone. No I/O."""


class RunnerAddresses:
    """An index of the runners' names by address, so that looking one up does not pass over all of them."""

    def __init__(self) -> None:
        self.names: dict[str, dict[str, None]] = {}  # by address, in the order in which they were added

    def add(self, name: str, address: str) -> None:
        """Note that a runner is at this address."""
        self.names.setdefault(address, {})[name] = None

    def remove(self, name: str, address: str) -> None:
        """Note that a runner is no longer at this address. Raises KeyError if it was not."""
        names = self.names[address]
        del names[name]
        if not names:
            del self.names[address]

    def latest_at(self, address: str) -> str | None:
        """Return the name of the runner that was added last at this address; None if there is none."""
        return next(reversed(self.names.get(address, {})), None)
