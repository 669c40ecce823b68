"""Day `all-at-once`: a zone is lost, most gateways die while the fleet returns to it, later all of them."""

from __future__ import annotations

from ochrecourse.lab.day import Trouble
from ochrecourse.lab.together import CHANNELS, FIGURES, GATEWAYS, LEAVE, Step, Together, _day

DEAD = 0.7  # of all gateways, which die in the middle of the return


def all_at_once(seed: int, gateways: int) -> Together:
    """South loses its power and comes back cold. Seven in ten gateways, of all zones, are killed inside
    appends while the fleet returns to it; later all are, and the fleet begins anew from its journals.
    """
    lost = (3.0, 9.0)
    every = tuple(range(gateways))
    most = tuple(index for index in every if int((index + 1) * DEAD) > int(index * DEAD))
    return Together(
        day=_day(
            "all-at-once", seed, 20.0, gateways, 0.35,
            [Trouble(kind="zone_lost", at_s=lost[0], len_s=lost[1] - lost[0], which="south")],
        ),
        steps=[
            Step(at_s=0.5, do="append", who=every, len_s=19.0, rate=3.0 * GATEWAYS / gateways),
            Step(at_s=12.0, do="kill", who=most, len_s=0.5, rate=1.0),
            Step(at_s=15.5, do="kill", who=every, len_s=0.5, rate=1.0),
        ],
        fleet={"zones": FIGURES},
        zone="south",
        lost=lost,
        leave_s=LEAVE,
        rises=True,
        channels=CHANNELS,
    )  # fmt: skip
