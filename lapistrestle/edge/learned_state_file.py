"""Persists the module's learned latency figures, and restores them at start."""

from pathlib import Path
from typing import Any

from lapistrestle.store import learned_state
from lapistrestle.store.learned_state import LearnedMethod

WRITE_INTERVAL = 100_000  # ticks of 0.1 ms between two writes of the file


class LearnedStateFile:
    """The file of one edge. An unreadable file or a failing disk is logged and never stops the edge."""

    def __init__(self, edge: Any, path: str) -> None:
        self.edge, self.path = edge, Path(path)
        self.restore()
        edge.after(WRITE_INTERVAL, self.write_periodically, None)

    def restore(self) -> None:
        """Restore the figures from the file, except for methods whose deadlines differ from those in it."""
        try:
            persisted = learned_state.read_learned_state(self.path)
        except FileNotFoundError:
            return self.edge.log("no learned figures persisted yet", file=str(self.path))
        except (OSError, ValueError) as error:
            self.edge.log("learned figures can't be read, starting without", why=str(error))
            return self.move_aside()
        none, restored, figures = LearnedMethod(0, 0, 0.0, 0.0), list[str](), list[tuple[float, float]]()
        for name, method in zip(self.edge.methods, self.edge.settings.methods, strict=True):
            learned = persisted.get(name, none)
            if (learned.soft_deadline, learned.deadline) != (method.soft_deadline, method.deadline):
                learned = none
            restored += [name] if learned.isolated_latency or learned.usual_work else []
            figures.append((learned.isolated_latency, learned.usual_work))
        self.edge.host.module.latency.restore(figures)
        self.edge.log(
            "learned figures restored",
            carried=restored,
            afresh=[m for m in self.edge.methods if m not in restored],
        )

    def move_aside(self) -> None:
        """Rename a file that can't be read, so that the next write does not destroy another program's."""
        try:
            self.path.replace(self.path.with_name(self.path.name + ".unread"))
        except OSError as error:
            self.edge.log("learned figures not persisted", why=str(error))

    def write_periodically(self, _: object) -> None:
        """Write the file now, and again every WRITE_INTERVAL ticks."""
        if not self.edge.stopping:
            self.write()
            self.edge.after(WRITE_INTERVAL, self.write_periodically, None)

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
        except OSError as error:
            self.edge.log("learned figures not persisted", why=str(error))
