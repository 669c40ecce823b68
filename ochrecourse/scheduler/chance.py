"""Chance for decisions that many gateways must not make in step.

The seed is handed in, so the same seed and reports give the same decisions.
"""

from __future__ import annotations

_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407


class Chance:
    """A linear congruential generator of 64 bits, of which the upper 24 are used. `state`: the seed."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def spread(self) -> float:
        """From a half to one, so that what failed together does not come back together."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) % 2**64
        return 0.5 + (self.state >> 40) / 2**25
