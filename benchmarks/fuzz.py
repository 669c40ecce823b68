"""Coverage-guided fuzzing of what reads bytes from outside: BGP codec, WebDAV paths, conditions, bodies.

    python -m benchmarks.fuzz TARGET [SECONDS]

Needs `pip install -e '.[fuzz]'`. Ends with 0 if nothing but the named errors was raised; else libFuzzer writes the input.
"""

from __future__ import annotations

import sys

import atheris
import contextlib

with atheris.instrument_imports():
    from ochrecourse.bgp import codec
    from ochrecourse.webdav import bodies, conditions, paths

KINDS = (1, 2, 3, 4, 5)


def bgp(data: bytes) -> None:
    """Any body of any kind decodes or is malformed; fed whole or byte by byte the same messages come."""
    if len(data) < 2:
        return
    body = data[2:4000]
    raw = b"\xff" * 16 + (19 + len(body)).to_bytes(2, "big") + bytes([KINDS[data[0] % 5]]) + body
    told = []
    for step in (len(raw), 1):
        decoder, got = codec.Decoder(), []
        decoder.four_bytes = bool(data[1] & 1)
        try:
            for at in range(0, len(raw), step):
                decoder.feed(raw[at : at + step])
                while (message := decoder.next()) is not None:
                    got.append(repr(message))
        except codec.MalformedMessageError as wrong:
            got.append(repr(codec.encode(wrong.notification)))
        told.append(got)
    assert told[0] == told[1]


def webdav(data: bytes) -> None:
    """Paths, conditional headers, ranges and XML bodies: a result or the named error."""
    text = data.decode("latin-1")
    try:
        target = paths.parse("/" + text)
        assert paths.parse(paths.href(target.path, False)).path == target.path
    except paths.InvalidPathError:
        pass
    for read in (
        lambda: conditions.parse_if(text, "h"),
        lambda: conditions.parse_entity_tags(text),
        lambda: conditions.parse_http_date(text),
    ):
        with contextlib.suppress(conditions.InvalidConditionError, paths.InvalidPathError):
            read()
    slices = conditions.parse_ranges(text, 1000)
    assert not slices or all(0 <= first <= last < 1000 for first, last in slices)
    for parse in (bodies.parse_propfind, bodies.parse_propertyupdate, bodies.parse_lockinfo):
        with contextlib.suppress(bodies.InvalidBodyError):
            parse(data)


def main() -> None:
    targets = {"bgp": bgp, "webdav": webdav}
    if len(sys.argv) < 2 or sys.argv[1] not in targets:
        sys.exit(f"usage: python -m benchmarks.fuzz {'|'.join(targets)} [SECONDS]")
    seconds = sys.argv[2] if len(sys.argv) > 2 else "60"
    atheris.Setup(
        [sys.argv[0], f"-max_total_time={seconds}", "-max_len=4096", "-seed=1"], targets[sys.argv[1]]
    )
    atheris.Fuzz()


if __name__ == "__main__":
    main()
