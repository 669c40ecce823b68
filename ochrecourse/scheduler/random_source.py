"""Random numbers for decisions that many gateways must not make in lockstep.

The caller supplies the seed, so the same seed and the same events result in the same decisions.
"""

from __future__ import annotations

_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407


class RandomSource:
    """A 64-bit linear congruential generator whose upper 24 bits are used. `state` starts as the seed."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def jitter(self) -> float:
        """Returns a random factor in [0.5, 1), so that requests that failed together are retried apart."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) % 2**64
        return 0.5 + (self.state >> 40) / 2**25
