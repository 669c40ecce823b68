"""`python -m ochrecourse.relay`: one gateway on the platform, in the foreground.

RELAY_CONFIG names the start file. Exit codes: 0 it has shut down in order; 2 the start file or the port can't
be used.
"""

from __future__ import annotations

import sys

from ochrecourse.service.signals import SignalHandler


def main() -> int:
    """Runs the gateway until it has shut down; returns the process's exit code."""
    signals = SignalHandler()
    signals.install()
    # Guards against a signal's default action while the program is loaded, most of a start's time.
    from ochrecourse.service.main import run

    try:
        return run(signals)
    finally:
        signals.ignore_all()


if __name__ == "__main__":
    sys.exit(main())
