"""Day `grey`: what is neither up nor down. Messages between zones are lost, ways work in one direction, a
zone loses large jobs and answers small ones, and a gateway stands still while it holds parts of cold nodes.
"""

from __future__ import annotations

from ochrecourse.lab.day import Trouble
from ochrecourse.lab.together import FIGURES, LEAVE, Step, Together, _day

LOSS = 0.3  # of the messages between zones
SMALL = 1.0  # units up to which the grey zone answers; a good half of all jobs have more


def grey(seed: int, gateways: int) -> Together:
    """South loses its power and comes back cold while three in ten messages between zones are lost; a gateway
    of its own stands still over the return. North is not heard by west's gateways, later one gateway by one
    other. Then west loses all but small jobs. North is well all day.
    """
    lost = (3.0, 8.0)
    north, south, west = (tuple(range(zone, gateways, 3)) for zone in range(3))
    lossy: dict[str, float | bool] = {"lose": LOSS}
    cut: dict[str, float | bool] = {"cut": True}
    return Together(
        day=_day(
            "grey", seed, 20.0, gateways, 0.4,
            [
                Trouble(kind="zone_lost", at_s=lost[0], len_s=lost[1] - lost[0], which="south"),
                Trouble(kind="zone_grey", at_s=14.0, len_s=4.0, which="west", size=SMALL),
            ],
        ),
        steps=[
            Step(at_s=1.5, do="ways", who=north, others=(*south, *west), state=lossy, len_s=16.0),
            Step(at_s=1.5, do="ways", who=south, others=west, state=lossy, len_s=16.0),
            Step(at_s=4.0, do="ways", who=north, others=west, both=False, state=cut, len_s=5.0),
            Step(at_s=10.0, do="still", who=(4,), len_s=4.0),
            Step(at_s=12.0, do="ways", who=(0,), others=(5,), both=False, state=cut, len_s=5.0),
        ],
        fleet={"zones": FIGURES},
        zone="south",
        lost=lost,
        leave_s=LEAVE,
        well=("north",),
    )  # fmt: skip
