"""The simulator adapter: decoding, encoding, and errors on malformed input."""

import io
import struct

import pytest

from ochrecourse.simulator import __main__ as simulator
from ochrecourse.simulator import frames
from ochrecourse.interface import Outcome, Attempt, ListCall, MissingSettingError, Reply


def batch(*records, count=None):
    body = b"".join(records)
    return frames.HEADER.pack(1, len(records) if count is None else count, len(body), 15000.0) + body


def start(text):
    return struct.pack(">BHQI", frames.CONFIGURE, 3, 7, len(text)) + text


@pytest.mark.parametrize(
    ("decision", "record"),
    [
        (Attempt(0x5D3A91C4, 0, 0x03124A07, 80_000_000), "0a00035d3a91c403124a074054000000000000"),
        (Reply(1, Outcome.REJECTED, 1_000_000_000), "14000300000001408f400000000000"),
        (Reply(1, Outcome.FAILED, 0), "1e000300000001"),
        (ListCall.FOLLOW, "6e000301"),
    ],
)
def test_each_decision_is_encoded_as_its_record(decision, record):
    assert frames.encode_decision(3, decision).hex() == record


def test_request_is_decoded_from_its_wire_format():
    record = "5d3a91c40000000091f03b7c55d20a6440c0e620000000002b8e6401d9f37c10400000000000000040400000" + "01"
    request = frames.Batch(bytes.fromhex(record)).request()
    assert (request.id, request.units, request.shard, request.gateways) == (0x5D3A91C4, 2.0, 0, 3)
    assert request.deadline == 8_652_250_000 and request.volume == 0x2B8E6401D9F37C10


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\0\0\0", "inside a header"),
        (batch(b"\xff\0\3"), "unknown code 255"),
        (batch(b"\x1e\0\3"), "cut short"),
        (batch(b"\x1e\0\3" + bytes(8), count=0), "more than its 0 records"),
    ],
)
def test_malformed_input_raises_an_error_without_a_reply(data, message):
    sink = io.BytesIO()
    with pytest.raises(frames.BadFrameError, match=message):
        simulator.serve(io.BytesIO(data), sink)
    assert sink.getvalue() == b""


def test_missing_setting_ends_the_simulation_without_a_reply():
    with pytest.raises(MissingSettingError, match=r"Classes\.count"):
        simulator.serve(io.BytesIO(batch(start(b"Discovery=push"))), io.BytesIO())


def test_unknown_instance_and_end_of_input_are_harmless():
    sink = io.BytesIO()
    simulator.serve(io.BytesIO(batch(b"\x1e\0\3" + bytes(8))), sink)
    assert sink.getvalue() == frames.REPLY.pack(1, 0, 0)


def test_exception_inside_the_scheduler_is_reported(monkeypatch):
    monkeypatch.setattr(simulator.Scheduler, "decide", lambda scheduler, now: 1 // 0)
    sink = io.BytesIO()
    simulator.serve(io.BytesIO(batch(start(b"Classes.count=0"))), sink)
    assert b"ZeroDivisionError" in sink.getvalue() and sink.getvalue()[12] == 100
