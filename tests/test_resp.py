"""RESP2: the codec at every split, every field of a command, valid and malformed replies of nodes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ochrecourse.common.time_units import MS
from ochrecourse.resp import codec
from ochrecourse.resp.codec import CommandParser, ErrorReply, ReplyParser, RespProtocolError, SimpleString
from ochrecourse.resp.commands import RequestClasses, parse_command, parse_reply
from ochrecourse.wire import messages as m

FIELDS = b"c=read,t=p0,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3"
READ = [b"BLK.READ", b"7f3a9c21e0b4d655", b"9b1f03aa5c7e2d41", FIELDS]
WRITE = [
    b"BLK.WRITE",
    *READ[1:3],
    FIELDS.replace(b"c=read", b"c=mark").replace(b",vol", b",k=5c0f6e1a2b3d4c59,vol"),
    b"x\r\ny",
]
REQUEST_CLASSES = RequestClasses(
    {
        "Classes.count": "2",
        "Classes.0.Name": "read",
        "Classes.1.Name": "mark",
        "FamilyInfo.Writes": "false,true",
    }
)


def parse_all(parser, pieces):
    messages = []
    for piece in pieces:
        parser.feed(piece)
        while (message := parser.next()) is not None:
            messages.append(message)
    return messages


@given(
    st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=codec.MAX_COMMAND_ARGUMENTS), max_size=4),
    st.data(),
)
def test_commands_are_the_same_however_the_input_is_split(commands, data):
    encoded = b"".join(codec.encode_command(arguments) for arguments in commands)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(encoded)), max_size=12)))
    pieces = [encoded[a:b] for a, b in zip([0, *cuts], [*cuts, len(encoded)], strict=True)]
    parser = CommandParser()
    assert parse_all(parser, pieces) == commands
    assert not parser.has_partial_message()


def test_replies_are_the_same_at_every_split_of_the_input():
    data = b"+OK\r\n-ERR failed\r\n:7\r\n$-1\r\n$3\r\na\r\n\r\n*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n"
    expected = [
        (SimpleString(b"OK"),),
        (ErrorReply(b"ERR failed"),),
        (7,),
        (None,),
        (b"a\r\n",),
        ([b"v", None, b""],),
    ]
    for at in range(len(data) + 1):
        assert parse_all(ReplyParser(), [data[:at], data[at:]]) == expected
    assert parse_all(ReplyParser(), [data[i : i + 1] for i in range(len(data))]) == expected


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"hello", "not_a_command"),
        (b"x" * 4000, "long_line"),
        (b"*" + b"1" * 4000, "long_line"),
        (b"*1\r\n$" + b"1" * 4000, "long_line"),
        (b"*-1\r\n", "bad_count"),
        (b"*0\r\n", "bad_count"),
        (b"*9\r\n", "bad_count"),
        (b"*x\r\n", "bad_count"),
        (b"*1\r\n:5\r\n", "not_a_command"),
        (b"*1\r\n$-1\r\n", "bad_length"),
        (b"*1\r\n$62914560\r\n", "bad_length"),
        (b"*1\r\n$99999999999\r\n", "bad_length"),
        (b"*1\r\n$1_0\r\n", "bad_length"),
        (b"*1\r\n$4\r\nPINGPONG", "bad_end"),
        (b"*2\r\n$65536\r\n" + b"x" * 65536 + b"\r\n$65536\r\n", "long_message"),
    ],
)
def test_each_protocol_error_of_a_client_is_named_at_the_announced_length(data, code):
    with pytest.raises(RespProtocolError) as raised:
        parse_all(CommandParser(), [data])
    assert raised.value.code == code


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x00\xffnoise", "not_a_reply"),
        (b"HTTP/1.1 100 Continue\r\n\r\n", "not_a_reply"),
        (b"+" + b"x" * 4000, "long_line"),
        (b"$3221225472\r\n", "bad_length"),
        (b"$-2\r\n", "bad_length"),
        (b"*-1\r\n", "bad_count"),
        (b"*3\r\n*1\r\n", "not_a_reply"),
        (b"$2\r\nabc\r\n", "bad_end"),
    ],
)
def test_each_malformed_reply_is_named(data, code):
    with pytest.raises(RespProtocolError) as raised:
        parse_all(ReplyParser(), [data])
    assert raised.value.code == code


def test_an_idle_parser_keeps_no_bytes_in_its_buffer():
    # Guards against idle connections that keep the memory of their last long value.
    for parser, data in (
        (ReplyParser(), codec.encode_bulk_string(b"x" * 300_000)),
        (CommandParser(), codec.encode_command([b"x" * 60_000])),
    ):
        assert len(parse_all(parser, [data])) == 1 and not parser._buffer and not parser.has_partial_message()


def test_a_command_is_forwarded_with_only_its_timeout_replaced_by_the_attempts():
    for arguments in (READ, WRITE):
        request = parse_command(arguments, REQUEST_CLASSES, 5)
        again = parse_all(CommandParser(), [request.body.encode(123 * MS + 999_999)])[0]
        assert again == [*arguments[:3], arguments[3].replace(b"d=480", b"d=123"), *arguments[4:]]
        assert (request.key, request.volume, request.timeout) == (0x7F3A9C21E0B4D655, 0x3B4D60021, 480 * MS)
        assert (request.units, request.shard, request.gateways, request.read_at) == (2.0, 5, 3, 5)
    assert request.request_class == "mark" and request.tenant == "p0" and request.body.size == 4


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        ([b"GET", *READ[1:]], "unknown_command"),
        (READ[:3], "bad_arity"),
        ([*READ, b"body"], "bad_arity"),
        (WRITE[:4], "bad_arity"),
        ([READ[0], b"7f3a", *READ[2:]], "bad_id"),
        ([READ[0], READ[1], b"", FIELDS], "bad_id"),
        ([READ[0], READ[1], b"9B1F03AA5C7E2D41", FIELDS], "bad_id"),
        *(
            ([*READ[:3], FIELDS.replace(*change)], "bad_field")
            for change in [
                (b"d=480", b"d=soon"), (b"d=480", b"d=-4"), (b"d=480", b"d=0"), (b"d=480", b"d=nan"),
                (b"d=480", b"d=999999999"), (b"c=read", b"c="), (b"c=read,", b""), (b"c=read", b"c=mark"),
                (b"c=read", b"c=\xff\xfe"), (b"units=2", b"units=-2"), (b"shard=5", b"shard=-2"),
                (b"volume=0", b"volume="), (b"hosts=3", b"hosts=3,x=1"), (b"hosts=3", b"hosts=3\n"), (b",d=", b",k=zz,d="),
            ]
        ),
    ],
)  # fmt: skip
def test_each_bad_field_is_a_protocol_error_before_anything_is_submitted(arguments, code):
    with pytest.raises(RespProtocolError) as raised:
        parse_command(arguments, REQUEST_CLASSES, 0)
    assert raised.value.code == code


def test_node_replies_are_parsed_with_missing_or_malformed_figures():
    served, value = parse_reply([b"v", b"used=37,cost=4", b"inflight=7,util=0.61"])
    assert (value, served.size, served.body, served.volume_used, served.elsewhere) == (b"v", 1, 1, 0.37, 4)
    assert served.load == {"inflight": 7.0, "util": 0.61}
    # Figures or a report that can't be parsed are dropped; the value is kept.
    for usage, load in ((None, None), (b"used=much", b"\xff"), (b"", b"util=" + b"9" * 40)):
        served, value = parse_reply([b"v", usage, load])
        assert (value, served.volume_used, served.elsewhere, served.load) == (b"v", -1.0, 0, {})
    assert isinstance(parse_reply(ErrorReply(b"BUSY"))[0], m.AttemptRejected)
    failed, _ = parse_reply(ErrorReply(b"ERR failed used=50"))
    assert isinstance(failed, m.AttemptFailed) and failed.volume_used == 0.5


@pytest.mark.parametrize(
    "reply",
    [
        None,
        7,
        b"v",
        SimpleString(b"OK"),
        [None, None, None],
        [b"a"] * 4,
        ErrorReply(b"BUSY \xff"),
        ErrorReply(b"SYNTAX"),
    ],
)
def test_anything_else_from_a_node_is_a_protocol_error(reply):
    # A line that only begins with BUSY proves nothing: an attempt that was executed would be retried.
    with pytest.raises(RespProtocolError, match=r"neither|an answer is"):
        parse_reply(reply)


BODIES = st.integers(codec.MAX_OTHER_BULKS_BYTES + 1, 3 * codec.READ_BYTES).map(lambda size: b"y" * size)


@given(
    st.lists(st.tuples(BODIES, st.sampled_from(["accept", "discard", "discard later"])), max_size=4),
    st.data(),
)
def test_bodies_are_kept_or_discarded_as_decided_however_the_input_is_split(bodies, data):
    """Guards against a parser that loses its place in the input behind a body that is not kept."""
    encoded = b"".join(codec.encode_command([*WRITE[:4], body]) for body, _ in bodies)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(encoded)), max_size=12)))
    pieces = [encoded[start:end] for start, end in zip([0, *cuts], [*cuts, len(encoded)], strict=True)]
    parser, decisions, got, later = (
        CommandParser(asks_for_bodies=True),
        [each for _, each in bodies],
        [],
        False,
    )
    for piece in pieces:
        parser.feed(piece)
        if later:
            parser.discard_body()
            later = False
        while (arguments := parser.next()) is not None or parser.announced_body:
            if arguments is not None:
                got.append((arguments, parser.body_discarded))
                later = False
                continue
            assert 0 < parser.announced_body <= 3 * codec.READ_BYTES
            decision = decisions[len(got)]
            (parser.discard_body if decision == "discard" else parser.accept_body)()
            later = decision == "discard later"
        assert codec.READ_BYTES <= parser.read_size() <= codec.MAX_COMMAND_BULK_BYTES
    assert [arguments[:4] for arguments, _ in got] == [WRITE[:4]] * len(bodies)
    for (body, decision), (arguments, discarded) in zip(bodies, got, strict=True):
        assert discarded is (arguments[4] != body) and (decision == "accept") <= (not discarded)
        assert (decision == "discard") <= discarded
    assert not parser.has_partial_message()


def test_a_discarded_body_uses_no_memory():
    parser = CommandParser(asks_for_bodies=True)
    parser.feed(codec.encode_command([*WRITE[:4], b"y" * 60_000])[:-9])
    assert parser.next() is None and parser.announced_body == 60_000
    parser.discard_body()
    assert parser.next() is None and len(parser._buffer) - parser._position < 10
