"""Loaded by a child interpreter of tests/test_signals.py before anything else: sends it signals at named points.

SIGNAL_POINTS is a list of `KIND:NAME:SIGNAL[+SIGNAL...]`, parted by commas. KIND is `import` (the module is looked
for), `call` or `return` (of the function with this qualified name), `exit` (the interpreter's exit handlers run) or
`late` (its modules are taken down). Each point is used once.
"""

import atexit
import os
import signal
import sys

kill, getpid = os.kill, os.getpid


def _points():
    for text in filter(None, os.environ.get("SIGNAL_POINTS", "").split(",")):
        kind, name, numbers = text.split(":")
        yield (kind, name), [getattr(signal, f"SIG{each}") for each in numbers.split("+")]


POINTS = dict(_points())


def reach(kind, name):
    """A point is reached: its signals are sent to this process, each handled before the next is sent."""
    for number in POINTS.pop((kind, name), ()):
        kill(getpid(), number)


class _Imports:
    @staticmethod
    def find_spec(name, path=None, target=None):
        reach("import", name)


class _Late:
    """Holds what it needs: globals are gone when its end comes."""

    def __init__(self, numbers):
        self.numbers, self.kill, self.process = numbers, kill, getpid()

    def __del__(self):
        for number in self.numbers:
            self.kill(self.process, number)


def _profile(frame, event, argument):
    if event in ("call", "return"):
        reach(event, frame.f_code.co_qualname)


if POINTS:
    sys.meta_path.insert(0, _Imports)
    sys.modules["signal_hook_late"] = _Late(
        POINTS.pop(("late", ""), ())
    )  # let go when modules are taken down
    atexit.register(reach, "exit", "")
    if any(kind in ("call", "return") for kind, _ in POINTS):
        sys.setprofile(_profile)
