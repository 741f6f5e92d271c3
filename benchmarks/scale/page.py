"""Writes the capacity page's tables between `<!-- table: NAME -->` and `<!-- end -->`, or checks them."""

import re
from pathlib import Path

from benchmarks.scale import results, tables

PAGE = results.ROOT / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- table: (?P<name>[^>]+?) -->\n)(?P<body>.*?)(<!-- end -->)", re.DOTALL)
OPENING = re.compile(r"<!-- table: ")


class MalformedPageError(Exception):
    """A marker has no end."""


def written(text: str, found: tables.Results) -> str:
    """The page with every table made anew; all other text as it stands. Raises `tables.UnknownTableError`."""
    if len(OPENING.findall(text)) != len(MARKED.findall(text)):
        raise MalformedPageError("a table has no <!-- end --> of its own")

    def filled(match: re.Match[str]) -> str:
        return f"{match[1]}\n{tables.made(match['name'].strip(), found)}\n\n{match[4]}"

    return MARKED.sub(filled, text)


def differing(text: str, found: tables.Results) -> list[str]:
    """Names of the tables of the page that are not those of the result files."""
    renewed = written(text, found)
    pairs = zip(MARKED.finditer(text), MARKED.finditer(renewed), strict=True)
    return [old["name"].strip() for old, new in pairs if old["body"] != new["body"]]


def write(page: Path = PAGE, folder: Path = results.RESULTS) -> None:
    page.write_text(written(page.read_text(), results.load_all(folder)))


def check(page: Path = PAGE, folder: Path = results.RESULTS) -> list[str]:
    return differing(page.read_text(), results.load_all(folder))
