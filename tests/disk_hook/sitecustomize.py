"""Loaded by a child interpreter before anything else: makes each sync of a file take SYNC_SECONDS longer, once the file
SLOW_FROM is there."""

import os
import time

SECONDS, SLOW_FROM = float(os.environ.get("SYNC_SECONDS", "0")), os.environ.get("SLOW_FROM", "")


def _slow(sync):
    def slow_sync(file):
        if os.path.exists(SLOW_FROM):
            time.sleep(SECONDS)
        return sync(file)

    return slow_sync


if SECONDS:
    os.fsync, os.fdatasync = _slow(os.fsync), _slow(os.fdatasync)
