"""Maps names from outside to objects; inside the module, objects refer to each other directly."""

from collections import OrderedDict

from lapistrestle.policy.entities import Function, Worker
from lapistrestle.policy.types import FunctionInfo


class ObjectRegistry:
    """The workers and functions known to one instance of the module, by name, and its timer tokens.

    `max_functions` limits the functions, as clients may name a new one in every request; the least recently
    used are evicted first. If more are in use at once, what was learned of the evicted ones is lost. Above
    `idle`, functions without replicas and scores are evicted too.
    """

    idle = 1_000  # functions without replicas and scores that are retained

    def __init__(self, max_functions: int | None = None) -> None:
        self.workers: dict[str, Worker] = {}
        self.functions: OrderedDict[str, Function] = OrderedDict()
        self.max_functions = max_functions
        self.tokens: dict[int, object] = {}
        self.last_token = 0

    def worker(self, name: str) -> Worker:
        """Return the worker of this name, created on first use."""
        if name not in self.workers:
            self.workers[name] = Worker(name)
        return self.workers[name]

    def function(
        self, name: str, method: int, memory_mb: float, lanes: int, load_time: int | None = None
    ) -> Function:
        """Return the function of this name, created on first use with `memory_mb` and `lanes` per copy.
        `load_time`, if given, replaces the typical load time in ticks.
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

    def trim(self, limit: int) -> None:
        """Evict up to two functions. As one is added at a time, a registry above its limit shrinks again."""
        for _ in range(2):
            oldest = next(iter(self.functions.values()))
            if len(self.functions) > (limit if oldest.has_state else min(self.idle, limit)):
                del self.functions[oldest.name]

    def forget_function(self, function: FunctionInfo) -> None:
        """Remove a function, unless another one has its name by now."""
        if self.functions.get(function.name) is function:
            del self.functions[function.name]

    def store_token(self, token: object) -> int:
        """Store a timer token and return a number for it."""
        self.last_token += 1
        self.tokens[self.last_token] = token
        return self.last_token

    def take_token(self, number: int) -> object | None:
        """Remove and return the token with this number; None if there is none."""
        return self.tokens.pop(number, None)
