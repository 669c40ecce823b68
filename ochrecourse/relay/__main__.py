"""`python -m ochrecourse.relay`: one gateway on the platform, in the foreground.

RELAY_CONFIG names the start file. Exit codes: 0 it left in order; 2 the start file or the port can't be had.
"""

from __future__ import annotations

import sys

from ochrecourse.service.signals import SignalHandler


def main() -> int:
    """The process's exit code, once the gateway has left."""
    signals = SignalHandler()
    signals.install()
    # Guards against an end by a signal's default action while the program is loaded, most of a start's time.
    from ochrecourse.service.main import run

    try:
        return run(signals)
    finally:
        signals.ignore()


if __name__ == "__main__":
    sys.exit(main())
