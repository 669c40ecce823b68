"""`python -m ochrecourse.relay`: runs a gateway service in the foreground.

The environment variable RELAY_CONFIG is the path of the start file. Exit codes: 0 after a graceful shutdown;
2 if the start file or the port can't be used.
"""

from __future__ import annotations

import sys

from ochrecourse.service.signals import SignalHandler


def main() -> int:
    """Runs the gateway until it has shut down; returns the process's exit code."""
    signals = SignalHandler()
    signals.install()
    # Imported after the handlers are installed: loading the program takes most of the start, and a signal
    # meanwhile would otherwise have its default action.
    from ochrecourse.service.main import run

    try:
        return run(signals)
    finally:
        signals.ignore_all()


if __name__ == "__main__":
    sys.exit(main())
