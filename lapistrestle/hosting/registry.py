"""Names to objects, where they come in from outside; behind that, objects refer to each other directly."""

from collections import OrderedDict

from lapistrestle.policy.entities import Function, Worker


class ObjectRegistry:
    """The workers and functions that one instance of the module knows, by name, and its wake-up tokens.

    `max_functions` bounds the functions kept: guards against clients that name a new one in every request. It
    could harm where more than that many are in use at once: what was learnt of the least recently used is
    learnt anew.
    Past `idle` of them the least recently used go as soon as the module holds nothing of them but a figure.
    """

    idle = 1_000  # functions that are kept though nothing is held of them

    def __init__(self, max_functions: int | None = None) -> None:
        self.workers: dict[str, Worker] = {}
        self.functions: OrderedDict[str, Function] = OrderedDict()
        self.max_functions = max_functions
        self.tokens: dict[int, object] = {}
        self.last_token = 0

    def worker(self, name: str) -> Worker:
        """The worker of this name, made when it is first named."""
        if name not in self.workers:
            self.workers[name] = Worker(name)
        return self.workers[name]

    def function(
        self, name: str, method: int, memory_mb: float, lanes: int, load_time: int | None = None
    ) -> Function:
        """The function of this name, made when it is first named. `memory_mb` is per copy; `load_time`, the
        usual time of a load in tenths of a millisecond, is as this request says: the last one stands.
        """
        function = self.functions.get(name)
        if function is None:
            function = self.functions[name] = Function(name, method, memory_mb, max(1, lanes))
            if self.max_functions:
                self.trim(self.max_functions)
        elif self.max_functions:
            self.functions.move_to_end(name)
        function.load_time = function.load_time if load_time is None else load_time
        return function

    def trim(self, most: int) -> None:
        """Evict up to two for each new one, so that what had grown shrinks again."""
        for _ in range(2):
            oldest = next(iter(self.functions.values()))
            held = oldest.replicas or oldest.scores
            if len(self.functions) > (most if held else min(self.idle, most)):
                del self.functions[oldest.name]

    def store_token(self, token: object) -> int:
        """A number for the token, to be given back when it is due."""
        self.last_token += 1
        self.tokens[self.last_token] = token
        return self.last_token

    def take_token(self, number: int) -> object | None:
        """The token kept under this number, which is then forgotten."""
        return self.tokens.pop(number, None)
