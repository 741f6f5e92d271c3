"""A journal of entries in sqlite3: appended whole and in order, or not at all, by one writer at a time.

Each opening for writing begins a new epoch. A writer of an older epoch, one that hung and comes back, is
refused at its next entry, so it cannot undo what a newer one decided.
"""

import sqlite3
from collections.abc import Iterator, Sequence
from pathlib import Path

SCHEMA = """
create table if not exists epochs (epoch integer primary key autoincrement);
create table if not exists entries (number integer primary key, epoch integer not null, entry blob not null);
"""


class StaleEpochError(Exception):
    """A newer writer has opened the journal; this one must stop."""


class JournalError(Exception):
    """The file is no journal, or its disk fails; the text names it."""


class Journal:
    """Opened for writing. What `append` returned for is on disk (synchronous=FULL over a write-ahead log)."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self.database = sqlite3.connect(path, isolation_level=None, timeout=10)
            self.database.execute("pragma journal_mode=wal")
            self.database.execute("pragma synchronous=full")
            self.database.executescript(SCHEMA)
            self.epoch = int(self.database.execute("insert into epochs default values").lastrowid or 0)
        except sqlite3.Error as trouble:
            raise JournalError(f"{path}: {trouble}") from None

    def append(self, entries: Sequence[bytes]) -> int:
        """All of these or none; the number of the last. Raises StaleEpochError or JournalError."""
        database = self.database
        try:
            database.execute("begin immediate")
            try:
                newest = self.newest_epoch()
                if newest != self.epoch:
                    raise StaleEpochError(f"{self.path}: epoch {newest} writes here now, not {self.epoch}")
                (last,) = database.execute("select coalesce(max(number), 0) from entries").fetchone()
                rows = [(last + i, self.epoch, entry) for i, entry in enumerate(entries, 1)]
                database.executemany("insert into entries values (?, ?, ?)", rows)
                database.execute("commit")
            except BaseException:
                database.execute("rollback")
                raise
        except sqlite3.Error as trouble:
            raise JournalError(f"{self.path}: {trouble}") from None
        return int(last) + len(entries)

    def newest(self) -> bool:
        """Whether no writer came after this one; a journal that can't be read says no."""
        try:
            return self.newest_epoch() == self.epoch
        except sqlite3.Error:
            return False

    def newest_epoch(self) -> int:
        (newest,) = self.database.execute("select max(epoch) from epochs").fetchone()
        return int(newest)

    def entries(self, after: int = 0) -> Iterator[tuple[int, bytes]]:
        """Those with a number above `after`, in order."""
        query = "select number, entry from entries where number > ? order by number"
        yield from self.database.execute(query, (after,))

    def close(self) -> None:
        self.database.close()
