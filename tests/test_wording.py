"""Figurative words in the source are listed with their number, which may only fall.

`figurative_words.txt` has one line for each: the word and how many comments, docstrings and names
in `src/` may contain it.
"""

from __future__ import annotations

import io
import re
import tokenize
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "milletcourse"
WORDS = Path(__file__).parent / "figurative_words.txt"
_PARTS = re.compile(r"[A-Z]?[a-z]+")


def allowed_words() -> dict[str, int]:
    """How many comments, docstrings and names may contain each figurative word."""
    lines = (line.split() for line in WORDS.read_text().splitlines())
    return {word: int(count) for word, count in lines}


def words_of(source: str) -> Iterator[set[str]]:
    """Words of each comment, docstring and defined name, in lower case."""
    before = tokenize.NEWLINE
    previous = ""
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        is_docstring = token.type == tokenize.STRING and before in (
            tokenize.NEWLINE,
            tokenize.INDENT,
            tokenize.NL,
        )
        is_name = token.type == tokenize.NAME and previous in ("def", "class")
        if token.type == tokenize.COMMENT or is_docstring or is_name:
            yield {word.lower() for word in _PARTS.findall(token.string)}
        if token.type != tokenize.COMMENT:
            before, previous = token.type, token.string


def count_words(sources: list[str], words: set[str]) -> Counter[str]:
    """In how many comments, docstrings and names of some sources each word stands."""
    return Counter(
        word for source in sources for found in words_of(source) for word in found & words
    )


def test_figurative_words_do_not_increase() -> None:
    """A plain word of the field says it; where one falls away, its line is lowered."""
    allowed = allowed_words()
    sources = [path.read_text() for path in sorted(SOURCE.rglob("*.py"))]
    assert dict(count_words(sources, set(allowed))) == {
        word: count for word, count in allowed.items() if count
    }


@pytest.mark.parametrize(
    "source",
    [
        '"""Hungry."""',
        "x = 1  # hungry ones",
        "def feed_hungry():\n    pass",
        "class Hungry:\n    x = 1",
    ],
)
def test_figurative_words_are_found(source: str) -> None:
    """In comments, docstrings and names of functions and classes."""
    assert count_words([source + "\n"], {"hungry"}) == {"hungry": 1}
