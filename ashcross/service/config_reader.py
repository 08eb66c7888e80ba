"""Typed access to nested JSON; each error names the key, the wanted form and the value found."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any, TypeAlias, TypeVar

from ashcross.errors import AshcrossError, shown

# Parsed JSON, which may have any shape until a method of `Section` has checked it.
Json: TypeAlias = Any
Choice = TypeVar("Choice")


class ConfigError(AshcrossError):
    """An invalid or missing value in the configuration."""

    remedy = "correct it; `ashcross check-config` reads the configuration without starting"


class ConfigUnreadableError(ConfigError):
    """A configuration file that cannot be read; `errno` is the system's error number."""

    remedy = "name another file, or allow this process to read it"
    errno: int | None = None


class Section:
    """One object of the configuration, with its path for errors; null counts as an absent key.

    Every method raises `ConfigError` if the value does not have the form that the method returns.
    """

    def __init__(self, content: Json, path: str) -> None:
        self.path = path
        if not isinstance(content, dict):
            raise ConfigError(path or "the configuration", "an object", shown(content))
        self._content = content

    def key_path(self, key: str) -> str:
        """Return the full path of a key, as errors name it."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str) -> Json:
        """Return the unchecked value, or None if the key is absent."""
        return self._content.get(key)

    def section(self, key: str) -> Section:
        """Return an object, or an empty one if the key is absent."""
        value = self.get(key)
        return Section({} if value is None else value, self.key_path(key))

    def sections(self, key: str, min_count: int = 0) -> list[Section]:
        """Return a list of at least `min_count` objects, or an empty one if the key is absent."""
        values = self._list(key)
        if len(values) < min_count:
            raise self._wrong(key, f"a list of {min_count} or more")
        return [Section(value, f"{self.key_path(key)}[{i}]") for i, value in enumerate(values)]

    def number(
        self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = math.inf
    ) -> float:
        """Return a number from `minimum` to `maximum`; without a default the key is required."""
        value = self.get(key)
        if value is None and default is not None:
            return default
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value <= maximum:
            if maximum < math.inf:
                raise self._wrong(key, f"a number from {minimum:g} to {maximum:g}")
            raise self._wrong(key, f"a number of {minimum:g} or more")
        return float(value)

    def integer(
        self, key: str, default: int | None = None, minimum: float = 0, maximum: float = math.inf
    ) -> int:
        """Return an integer from `minimum` to `maximum`; without a default the key is required."""
        number = self.number(key, default, minimum, maximum)
        if number != int(number):
            raise self._wrong(key, "a whole number")
        value = self.get(key)
        # The integer is taken from the JSON value, as a large one loses digits in the conversion to float.
        return int(value) if isinstance(value, int) else int(number)

    def boolean(self, key: str, default: bool) -> bool:
        """Return a boolean; the integer 0 counts as false, any other integer as true."""
        value = self.get(key)
        if value is None:
            return default
        if not isinstance(value, (bool, int)):
            raise self._wrong(key, "true or false")
        return bool(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string; without a default the key is required."""
        value = self.get(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._wrong(key, "a string")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings, empty if the key is absent."""
        values = self._list(key)
        if not all(isinstance(value, str) for value in values):
            raise self._wrong(key, "a list of strings")
        return tuple(values)

    def choice(self, key: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """Return the value of `choices` for the word found, or for `default` if the key is absent."""
        value = self.get(key)
        word = default if value is None else value
        if not isinstance(word, str) or word not in choices:
            raise self._wrong(key, "one of " + ", ".join(choices))
        return choices[word]

    def numbers(self, key: str) -> list[float]:
        """Return a list of numbers, empty if the key is absent; booleans count as 0 and 1."""
        values = self._list(key)
        if not all(isinstance(value, (int, float)) for value in values):
            raise self._wrong(key, "a list of numbers")
        return [float(value) for value in values]

    def unknown_keys(self, known: Iterable[str]) -> list[str]:
        """Return the keys of this object that are not in `known`, in alphabetical order."""
        return sorted(set(self._content) - set(known))

    def _list(self, key: str) -> list[Json]:
        value = self.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._wrong(key, "a list")
        return value

    def _wrong(self, key: str, wanted: str) -> ConfigError:
        value = self.get(key)
        return ConfigError(self.key_path(key), wanted, "nothing" if value is None else shown(value))


def item_or_default(values: list[float], index: int, default: float) -> float:
    """Return the item at `index`, or `default` if the list is too short."""
    return values[index] if index < len(values) else default
