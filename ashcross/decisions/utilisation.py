"""The target band of utilisation, and the upper bound of the multiprogramming level."""

from __future__ import annotations

# bounds of the target band, as shares of an engine's capacity
TARGET_LOW = 0.70
TARGET_HIGH = 0.85

# maximum number of our slots on an engine for each core of our share of it (docs/design.md)
MAXIMUM_LEVEL = 2.0
