"""The family of the program's errors: each says where, what was found and wanted, and what to do.

The text of an error is one line: `PLACE: wanted WANTED, found FOUND; REMEDY`. docs/errors.md has a row for
each type.
"""

from __future__ import annotations


class AshcrossError(Exception):
    """A fault that an operator may meet.

    `place` names file, line or key; `wanted` and `found` say what should stand there and what does; `remedy`
    is what an operator can do. A type's own `remedy` serves where an error brings none.
    """

    remedy = "see docs/errors.md"

    def __init__(self, place: str, wanted: str = "", found: str = "", remedy: str = "") -> None:
        self.place, self.wanted, self.found = place, wanted, found
        self.remedy = remedy or type(self).remedy
        super().__init__(self.line())

    def told(self) -> str:
        """What is wrong, without the remedy."""
        parts = [f"wanted {self.wanted}" if self.wanted else "", f"found {self.found}" if self.found else ""]
        said = ", ".join(part for part in parts if part)
        return f"{self.place}: {said}" if self.place and said else self.place or said

    def line(self) -> str:
        """All of it, as an operator is shown it."""
        return f"{self.told()}; {self.remedy}"


def shown(value: object, most: int = 60) -> str:
    """A value as it is quoted in an error: its text, cut at `most` characters."""
    text = repr(value)
    return text if len(text) <= most else text[: most - 3] + "..."
