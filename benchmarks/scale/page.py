"""Writes or checks the tables of docs/CAPACITY.md, between `<!-- table: NAME -->` and `<!-- end -->`."""

import re
from pathlib import Path

from benchmarks.scale import results, tables

PAGE = results.ROOT / "docs" / "CAPACITY.md"
TABLE_PATTERN = re.compile(r"(<!-- table: (?P<name>[^>]+?) -->\n)(?P<body>.*?)(<!-- end -->)", re.DOTALL)
OPENING_PATTERN = re.compile(r"<!-- table: ")


class MalformedPageError(Exception):
    """A table marker has no end marker."""


def written(text: str, found: tables.Results) -> str:
    """The page with its tables regenerated, the rest unchanged. Raises `tables.UnknownTableError`."""
    if len(OPENING_PATTERN.findall(text)) != len(TABLE_PATTERN.findall(text)):
        raise MalformedPageError("a table marker has no matching <!-- end -->")

    def fill_table(match: re.Match[str]) -> str:
        return f"{match[1]}\n{tables.make_table(match['name'].strip(), found)}\n\n{match[4]}"

    return TABLE_PATTERN.sub(fill_table, text)


def differing(text: str, found: tables.Results) -> list[str]:
    """Names of the page's tables that differ from the result files."""
    updated = written(text, found)
    pairs = zip(TABLE_PATTERN.finditer(text), TABLE_PATTERN.finditer(updated), strict=True)
    return [old["name"].strip() for old, new in pairs if old["body"] != new["body"]]


def write(page: Path = PAGE, folder: Path = results.RESULTS) -> None:
    page.write_text(written(page.read_text(), results.load_all(folder)))


def check(page: Path = PAGE, folder: Path = results.RESULTS) -> list[str]:
    return differing(page.read_text(), results.load_all(folder))
