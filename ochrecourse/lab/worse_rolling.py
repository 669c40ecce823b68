"""Day `rolling-upgrade`: every process of a fleet is replaced, two forms side by side, over a lost zone's
leaving and return and a site's close of business.

Half of the gateways begin as an older program would (their settings hold them to its form). They are replaced
one by one, by sockets handed over or by SIGTERM; one goes back in between. A form is to be raised three
times: while some do not speak it, while one went back, and when all speak it. Then an older program is to
take over and must be turned away. One gateway is cut off meanwhile.
"""

from __future__ import annotations

import msgspec

from ochrecourse.lab.day import Trouble
from ochrecourse.lab.together import (
    CHANNELS, FIGURES, LEAVE, NOTICE, SITE, Step, Together, _day,
)  # fmt: skip

OLDER, NEWER = 1, 2
CLOSES = 13.0  # s
State = dict[str, float | bool]
TAKE: State = {"newest": NEWER, "take": True}
LEAVES: State = {"newest": NEWER, "take": False}
BACK: State = {"newest": OLDER, "take": True}
TOO_LATE: State = {**BACK, "refused": True}  # the form that it does not speak is in force


def rolling_upgrade(seed: int, gateways: int) -> Together:
    """South's nodes lose their power meanwhile, and the site closes."""
    lost = (3.5, 8.0)
    trouble = Trouble(kind="zone_lost", at_s=lost[0], len_s=lost[1] - lost[0], which="south")
    day = _day("rolling-upgrade", seed, 20.0, gateways, 0.3, [trouble])
    older = range(0, gateways, 2)

    def roll(at: float, state: State, *who: int) -> Step:
        return Step(at_s=at, do="roll", who=who, state=state)

    return Together(
        day=msgspec.structs.replace(day, dated=True, keys=16),
        steps=[
            Step(at_s=0.5, do="edition", who=(0,), close_s=CLOSES),
            Step(at_s=0.5, do="append", who=tuple(range(gateways)), len_s=16.0, rate=1.0),
            Step(at_s=2.0, do="form", who=(1,)),
            roll(4.0, TAKE, 0),  # while the zone is left
            roll(5.0, LEAVES, 2),
            Step(at_s=6.0, do="ways", who=(5,), state={"cut": True}, len_s=2.5),
            roll(8.2, BACK, 1),  # while it returns, and the one that is to say so is replaced
            Step(at_s=8.3, do="form", who=(0,)),
            roll(8.4, TAKE, *older[2:]),
            roll(CLOSES - 0.8, TAKE, 3),  # over the close
            roll(CLOSES + 0.5, TAKE, 1),
            Step(at_s=CLOSES + 0.6, do="form", who=(4,)),
            roll(CLOSES + 0.7, TOO_LATE, 4),
            roll(CLOSES + 0.8, TAKE, 5),
        ],
        fleet={
            "zones": FIGURES,
            "copies": {"products": ["page-read"]},
            "purges": {"notice": NOTICE},
        },
        zone="south",
        lost=lost,
        leave_s=LEAVE,
        close_s=CLOSES,
        channels=(f"purges/{SITE}", f"calendar/{SITE}", *CHANNELS),
        newest={f"g{index}": OLDER if index in older else NEWER for index in range(gateways)},
    )
