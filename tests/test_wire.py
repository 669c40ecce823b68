"""Framing, messages and state: any bytes, any split, any order."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import (
    LocalProtocolError,
    MalformedMessageError,
    ProtocolViolationError,
    RemoteProtocolError,
    WireError,
)
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import (
    STATE_TEXTS,
    ListConnectionState,
    StreamState,
    Role,
    client_connection_state,
    node_connection_state,
)

HELLO = m.Hello(version=m.PROTOCOL_VERSION, role="client")


class Sink:
    """A transport that keeps what is written."""

    def __init__(self):
        self.data, self.closed, self.disconnecting = b"", False, False

    def write(self, data):
        self.data += data

    def loseConnection(self):
        self.closed = self.disconnecting = True

    abortConnection = loseConnection


class Ear(FramedProtocol):
    def __init__(self):
        super().__init__(VirtualNetwork(1), Role.RESPONDER, client_connection_state())
        self.heard = []

    def message_received(self, message, body, state):
        self.heard.append((message, body, state))


def ear():
    end = Ear()
    end.makeConnection(Sink())
    return end


texts = st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), max_size=20)
bodies = st.binary(max_size=300)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(texts, bodies), min_size=1, max_size=6), st.lists(st.integers(1, 40), min_size=1))
def test_any_split_of_the_stream_gives_the_same_messages(jobs, cuts):
    said = [m.encode(HELLO)]
    for number, (trace, body) in enumerate(jobs):
        asked = m.SubmitRequest(
            id=number, request_class="p", tenant="q", volume=1, timeout_ms=5, size=len(body), trace=trace
        )
        said.append(m.encode(asked, body))
    data, end, at, turn = b"".join(said), ear(), 0, 0
    while at < len(data):
        step = cuts[turn % len(cuts)]
        end.dataReceived(data[at : at + step])
        at, turn = at + step, turn + 1
    assert [(each.trace, body) for each, body, _ in end.heard[1:]] == jobs
    assert not end.transport.closed and all(after is StreamState.COMPLETE for _, _, after in end.heard[1:])


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_end_in_messages_or_one_fault(data):
    end = ear()
    end.dataReceived(m.encode(HELLO))
    end.dataReceived(data)
    if end.transport.closed:
        assert end.failure is not None and end.transport.data.count(b'"m":"fault"') == 1
    end.connectionLost()


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200) | texts.map(str.encode))
def test_decoding_raises_nothing_but_its_own_error(line):
    try:
        message = m.decode(line)
    except MalformedMessageError:
        return
    assert m.decode(m.encode(message)[:-2]) == message


def test_what_is_encoded_decodes_to_itself():
    done = m.AttemptServed(id=3, size=5, load={"rif": 2.0}, volume_used=0.5, elsewhere=7, shard=2)
    line, _, body = m.encode(done, b"12345").partition(b"\r\n")
    assert m.decode(line) == done and done.body == 5 and body == b"12345"


def test_unknown_fields_are_skipped_and_unknown_messages_told():
    assert m.decode(b'{"m":"leave","id":4,"later":"field"}') == m.CancelRequest(id=4)
    with pytest.raises(MalformedMessageError, match="dance"):
        m.decode(b'{"m":"dance"}')


def asked(number, **more):
    return m.SubmitRequest(id=number, request_class="p", tenant="q", volume=1, timeout_ms=5, **more)


def opened(state, *messages):
    for side in Role:
        state.apply(side, HELLO)
    for side, message in messages:
        state.apply(side, message)
    return state


ASK, ANSWER = Role.REQUESTER, Role.RESPONDER


@pytest.mark.parametrize(
    ("before", "side", "message", "code"),
    [
        ([], ANSWER, asked(1), "wrong_side"),
        ([(ASK, asked(4))], ASK, asked(4), "repeated_id"),
        ([(ASK, asked(4))], ASK, asked(2), "repeated_id"),
        ([], ANSWER, m.RequestRejected(id=1), "never_opened"),
        ([(ASK, asked(1)), (ANSWER, m.RequestRejected(id=1))], ANSWER, m.RequestFailed(id=1), "over"),
        ([(ASK, asked(1)), (ANSWER, m.RequestServed(id=1))], ANSWER, m.RequestServed(id=1), "over"),
        (
            [(ASK, asked(1)), (ANSWER, m.RequestServed(id=1, size=3))],
            ANSWER,
            m.BodyChunk(id=1, body=4),
            "body_too_long",
        ),
        ([(ASK, asked(1, size=3))], ASK, m.BodyChunk(id=1, body=4), "body_too_long"),
        ([(ASK, asked(1))], ASK, m.BodyChunk(id=1, body=4), "illegal"),
        ([(ASK, asked(1))], ASK, m.GoAway(), None),
        ([(ASK, m.GoAway())], ASK, asked(1), "after_bye"),
        ([], ASK, m.Hello(version=1, role="x"), "second_hello"),
        ([(ASK, asked(1))], ANSWER, m.AttemptCancelled(id=1), "illegal"),
        (
            [(ASK, asked(1)), (ANSWER, m.RequestRejected(id=1))],
            ASK,
            m.CancelRequest(id=1),
            None,
        ),  # it crossed the answer
        ([(ASK, asked(1)), (ASK, m.CancelRequest(id=1))], ANSWER, m.RequestServed(id=1, size=9), None),
        ([(ASK, asked(1, size=9)), (ANSWER, m.RequestRejected(id=1))], ASK, m.BodyChunk(id=1, body=9), None),
        (
            [(ASK, asked(1)), (ASK, m.CancelRequest(id=1)), (ANSWER, m.RequestCancelled(id=1))],
            ANSWER,
            m.RequestRejected(id=1),
            "over",
        ),
    ],
)
def test_each_move_is_legal_or_a_named_error(before, side, message, code):
    state = opened(client_connection_state(), *before)
    if code is None:
        state.apply(side, message)
        return
    with pytest.raises(ProtocolViolationError) as told:
        state.apply(side, message)
    assert told.value.code == code


def test_hello_comes_first_and_names_a_version_that_is_spoken():
    with pytest.raises(ProtocolViolationError, match="before hello"):
        node_connection_state().apply(ASK, m.HealthCheck(id=1))
    with pytest.raises(ProtocolViolationError, match="version 9"):
        node_connection_state().apply(ASK, m.Hello(version=9, role="node"))


def test_ids_that_are_over_are_forgotten():
    state = opened(node_connection_state())
    for number in range(1, 500):
        state.apply(ASK, m.SendAttempt(id=number, idempotency_key="x", request_class="p", volume=1))
        state.apply(ANSWER, m.AttemptServed(id=number))
    assert not state.streams


def test_a_list_server_tells_lists_only_to_those_who_follow():
    state = opened(ListConnectionState())
    with pytest.raises(ProtocolViolationError, match="nobody asked"):
        state.apply(ANSWER, m.EndpointListMessage(kind="full", epoch=1))
    state.apply(ASK, m.WatchEndpoints())
    state.apply(ANSWER, m.EndpointListMessage(kind="full", epoch=1))
    with pytest.raises(ProtocolViolationError, match="no place"):
        state.apply(ASK, asked(1))


def test_every_message_has_a_name_of_its_own():
    names = [each.__struct_config__.tag for each in m.AnyMessage.__args__]
    assert len(set(names)) == len(names) and all(
        issubclass(each, msgspec.Struct) for each in m.AnyMessage.__args__
    )


def test_an_illegal_message_of_this_side_is_not_taken_for_a_peer_s_breach():
    end = ear()
    with pytest.raises(LocalProtocolError, match="before hello"):
        end.send_message(m.RequestRejected(id=1))
    assert end.failure is None and not end.transport.data
    end.dataReceived(m.encode(m.CancelRequest(id=1)))
    assert isinstance(end.failure, RemoteProtocolError) and end.failure.code == "no_hello"
    assert all(issubclass(each, WireError) for each in (LocalProtocolError, MalformedMessageError))


@pytest.mark.parametrize(
    ("before", "text"),
    [
        ([(ASK, asked(1, size=3))], "asked"),
        ([(ASK, asked(1))], "whole"),
        ([(ASK, asked(1)), (ASK, m.CancelRequest(id=1))], "left"),
        ([(ASK, asked(1)), (ANSWER, m.RequestServed(id=1, size=3))], "answering"),
        (
            [(ASK, asked(1)), (ANSWER, m.RequestServed(id=1, size=3)), (ASK, m.CancelRequest(id=1))],
            "left answering",
        ),
        ([(ASK, asked(1, size=3)), (ANSWER, m.RequestRejected(id=1))], "refused"),
    ],
)
def test_texts_that_are_sent_to_peers_keep_the_protocol_s_words(before, text):
    state = opened(client_connection_state(), *before)
    with pytest.raises(ProtocolViolationError) as told:
        state.apply(ASK, m.WindowUpdate(id=1, increment_bytes=1))
    assert str(told.value) == f"credit for 1, which is {text}" and set(STATE_TEXTS) == set(StreamState)
