"""The base class of the program's errors: each names a place, what was wanted, what was found and a remedy.

The text of an error is one line: `PLACE: wanted WANTED, found FOUND; REMEDY`. docs/errors.md has a row for
each type.
"""

from __future__ import annotations

MAX_SHOWN_CHARACTERS = 60


class AshcrossError(Exception):
    """An error that can be shown to an operator.

    `place` names a file, line or key; `wanted` and `found` describe the value expected there and the actual
    one; `remedy` says what an operator can do. An error without a `remedy` has that of its type.
    """

    remedy = "see docs/errors.md"

    def __init__(self, place: str, wanted: str = "", found: str = "", remedy: str = "") -> None:
        self.place = place
        self.wanted = wanted
        self.found = found
        self.remedy = remedy or type(self).remedy
        super().__init__(f"{self.description()}; {self.remedy}")

    def description(self) -> str:
        """Return the place and what is wrong there, without the remedy."""
        clauses = []
        if self.wanted:
            clauses.append(f"wanted {self.wanted}")
        if self.found:
            clauses.append(f"found {self.found}")
        details = ", ".join(clauses)
        if self.place and details:
            return f"{self.place}: {details}"
        return self.place or details


def shown(value: object, max_characters: int = MAX_SHOWN_CHARACTERS) -> str:
    """Return a value of any type as errors quote it: its `repr`, cut to `max_characters`."""
    text = repr(value)
    if len(text) <= max_characters:
        return text
    return text[: max_characters - 3] + "..."
