"""RESP2: the codec at every byte, every field of a command, replies of nodes good and spoilt."""

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


def pulled(reader, pieces):
    got = []
    for piece in pieces:
        reader.feed(piece)
        while (one := reader.next()) is not None:
            got.append(one)
    return got


@given(
    st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=codec.MAX_COMMAND_ARGUMENTS), max_size=4),
    st.data(),
)
def test_commands_are_the_same_however_they_are_split(commands, data):
    whole = b"".join(codec.encode_command(words) for words in commands)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=12)))
    pieces = [whole[a:b] for a, b in zip([0, *cuts], [*cuts, len(whole)], strict=True)]
    reader = CommandParser()
    assert pulled(reader, pieces) == commands
    assert not reader.has_partial_message()


def test_replies_are_the_same_at_every_split():
    whole = b"+OK\r\n-ERR failed\r\n:7\r\n$-1\r\n$3\r\na\r\n\r\n*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n"
    want = [
        (SimpleString(b"OK"),),
        (ErrorReply(b"ERR failed"),),
        (7,),
        (None,),
        (b"a\r\n",),
        ([b"v", None, b""],),
    ]
    for at in range(len(whole) + 1):
        assert pulled(ReplyParser(), [whole[:at], whole[at:]]) == want
    assert pulled(ReplyParser(), [whole[i : i + 1] for i in range(len(whole))]) == want


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
        pulled(CommandParser(), [data])
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
        pulled(ReplyParser(), [data])
    assert raised.value.code == code


def test_idle_parser_holds_no_bytes():
    # Guards against connections that rest and keep their last long value.
    for reader, data in (
        (ReplyParser(), codec.encode_bulk_string(b"x" * 300_000)),
        (CommandParser(), codec.encode_command([b"x" * 60_000])),
    ):
        assert len(pulled(reader, [data])) == 1 and not reader._buffer and not reader.has_partial_message()


def test_command_is_forwarded_with_the_attempts_own_timeout_and_nothing_else_changed():
    for words in (READ, WRITE):
        request = parse_command(words, REQUEST_CLASSES, 5)
        again = pulled(CommandParser(), [request.body.encode(123 * MS + 999_999)])[0]
        assert again == [*words[:3], words[3].replace(b"d=480", b"d=123"), *words[4:]]
        assert (request.key, request.volume, request.timeout) == (0x7F3A9C21E0B4D655, 0x3B4D60021, 480 * MS)
        assert (request.units, request.shard, request.gateways, request.read_at) == (2.0, 5, 3, 5)
    assert request.request_class == "mark" and request.tenant == "p0" and request.body.size == 4


@pytest.mark.parametrize(
    ("words", "code"),
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
def test_each_bad_field_is_a_protocol_error_before_anything_is_submitted(words, code):
    with pytest.raises(RespProtocolError) as raised:
        parse_command(words, REQUEST_CLASSES, 0)
    assert raised.value.code == code


def test_replies_of_a_node_and_what_may_be_missing_from_them():
    done, value = parse_reply([b"v", b"used=37,cost=4", b"inflight=7,util=0.61"])
    assert (value, done.size, done.body, done.volume_used, done.elsewhere) == (b"v", 1, 1, 0.37, 4)
    assert done.load == {"inflight": 7.0, "util": 0.61}
    # A figure or report that can't be read is dropped; the value stands.
    for use, load in ((None, None), (b"used=much", b"\xff"), (b"", b"util=" + b"9" * 40)):
        done, value = parse_reply([b"v", use, load])
        assert (value, done.volume_used, done.elsewhere, done.load) == (b"v", -1.0, 0, {})
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
    # A line that only begins like busy proves nothing: taken for it, a leg that ran would be sent again.
    with pytest.raises(RespProtocolError, match=r"neither|an answer is"):
        parse_reply(reply)
