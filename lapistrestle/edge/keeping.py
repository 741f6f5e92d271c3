"""Persists the module's learned latency figures, and restores them at start."""

from pathlib import Path
from typing import Any

from lapistrestle.store import learned_state
from lapistrestle.store.learned_state import LearnedMethod

EACH = 100_000  # ticks of 0.1 ms between two writes of the file


class Keeping:
    """The file of one edge. An unreadable file or a failing disk is logged and never stops the edge."""

    def __init__(self, edge: Any, path: str) -> None:
        self.edge, self.path = edge, Path(path)
        self.recall()
        edge.after(EACH, self.step, None)

    def recall(self) -> None:
        """Restore the figures from the file, except for methods whose deadlines have changed."""
        try:
            kept = learned_state.read_learned_state(self.path)
        except FileNotFoundError:
            return self.edge.log("nothing learnt is kept yet", file=str(self.path))
        except (OSError, ValueError) as trouble:
            self.edge.log("kept figures can't be read, starting afresh", why=str(trouble))
            return self.set_aside()
        none, same, figures = LearnedMethod(0, 0, 0.0, 0.0), list[str](), list[tuple[float, float]]()
        for name, facts in zip(self.edge.methods, self.edge.settings.methods, strict=True):
            had = kept.get(name, none)
            if (had.soft_deadline, had.deadline) != (facts.soft_deadline, facts.deadline):
                had = none
            same += [name] if had.isolated_latency or had.usual_work else []
            figures.append((had.isolated_latency, had.usual_work))
        self.edge.host.module.latency.restore(figures)
        self.edge.log("kept figures", carried=same, afresh=[m for m in self.edge.methods if m not in same])

    def set_aside(self) -> None:
        """Rename a file that can't be read, so that the next write does not destroy another program's."""
        try:
            self.path.replace(self.path.with_name(self.path.name + ".unread"))
        except OSError as trouble:
            self.edge.log("learnt figures not kept", why=str(trouble))

    def step(self, _: object) -> None:
        """Write the file now, and again every EACH ticks."""
        if not self.edge.stopping:
            self.write()
            self.edge.after(EACH, self.step, None)

    def write(self) -> None:
        """Write the file. An error is logged."""
        rows = zip(
            self.edge.methods,
            self.edge.settings.methods,
            self.edge.host.module.latency.learned(),
            strict=True,
        )
        methods = {name: LearnedMethod(m.soft_deadline, m.deadline, *figures) for name, m, figures in rows}
        try:
            learned_state.write_learned_state(self.path, methods)
        except OSError as trouble:
            self.edge.log("learnt figures not kept", why=str(trouble))
