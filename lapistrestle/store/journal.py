"""An append-only journal in sqlite3: entries are appended atomically and in order, by one writer at a time.

Each writer that opens the journal gets a new epoch. A writer of an older epoch that resumes after a stall is
fenced: its next append fails, so that it cannot override decisions of the newer writer. `docs/rollout.md`,
*State*, gives the reasons for sqlite3.
"""

import sqlite3
from collections.abc import Iterator, Sequence
from pathlib import Path

SCHEMA = """
create table if not exists epochs (epoch integer primary key autoincrement);
create table if not exists entries (number integer primary key, epoch integer not null, entry blob not null);
"""

LOCK_TIMEOUT = 10.0
"""Seconds for which an append waits for another writer's transaction."""


class StaleEpochError(Exception):
    """A newer writer has opened the journal, so this one must stop.

    `path` names the journal, `epoch` is this writer's and `newest_epoch` the newer writer's.
    """

    def __init__(self, path: Path, epoch: int, newest_epoch: int) -> None:
        super().__init__(f"{path}: epoch {newest_epoch} writes here now, not {epoch}")
        self.path = path
        self.epoch = epoch
        self.newest_epoch = newest_epoch


class JournalError(Exception):
    """The file is not a journal, or an I/O error occurred.

    `path` names the file, `reason` is the message of sqlite3.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class Journal:
    """A journal opened for writing, with an epoch of its own.

    Entries are durable once `append` returns (write-ahead log with synchronous=full). The constructor raises
    JournalError if the file can't be opened.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self.database = sqlite3.connect(path, isolation_level=None, timeout=LOCK_TIMEOUT)
            self.database.execute("pragma journal_mode=wal")
            self.database.execute("pragma synchronous=full")
            self.database.executescript(SCHEMA)
            opened = self.database.execute("insert into epochs default values")
            self.epoch = int(opened.lastrowid or 0)
        except sqlite3.Error as error:
            raise JournalError(path, str(error)) from None

    def append(self, entries: Sequence[bytes]) -> int:
        """Append all of these entries or none. Return the number of the last one.

        Raises StaleEpochError if a newer writer has opened the journal, and JournalError if writing fails.
        """
        database = self.database
        try:
            database.execute("begin immediate")
            try:
                last = self._insert(entries)
                database.execute("commit")
            except BaseException:
                database.execute("rollback")
                raise
        except sqlite3.Error as error:
            raise JournalError(self.path, str(error)) from None
        return last

    def is_newest(self) -> bool:
        """Return whether this is the newest writer; False if the journal can't be read."""
        try:
            return self.newest_epoch() == self.epoch
        except sqlite3.Error:
            return False

    def newest_epoch(self) -> int:
        """Return the epoch of the newest writer. Raises sqlite3.Error."""
        (newest,) = self.database.execute("select max(epoch) from epochs").fetchone()
        return int(newest)

    def entries(self, after: int = 0) -> Iterator[tuple[int, bytes]]:
        """Yield the number and bytes of each entry after the number `after`. Raises sqlite3.Error."""
        query = "select number, entry from entries where number > ? order by number"
        yield from self.database.execute(query, (after,))

    def close(self) -> None:
        """Close the file; the journal can't be used afterwards."""
        self.database.close()

    def _insert(self, entries: Sequence[bytes]) -> int:
        """Insert the entries in the open transaction. Return the number of the last one."""
        newest_epoch = self.newest_epoch()
        if newest_epoch != self.epoch:
            raise StaleEpochError(self.path, self.epoch, newest_epoch)
        (last,) = self.database.execute("select coalesce(max(number), 0) from entries").fetchone()
        rows = [(number, self.epoch, entry) for number, entry in enumerate(entries, last + 1)]
        self.database.executemany("insert into entries values (?, ?, ?)", rows)
        return int(last) + len(entries)
