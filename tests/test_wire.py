"""The framed protocol: framing with arbitrary bytes and splits, messages, and state transitions in any order."""

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


class FakeTransport:
    """A transport that records writes."""

    def __init__(self):
        self.data, self.closed, self.disconnecting = b"", False, False

    def write(self, data):
        self.data += data

    def loseConnection(self):
        self.closed = self.disconnecting = True

    abortConnection = loseConnection


class RecordingProtocol(FramedProtocol):
    def __init__(self):
        super().__init__(VirtualNetwork(1), Role.RESPONDER, client_connection_state())
        self.received = []

    def message_received(self, message, body, state):
        self.received.append((message, body, state))


def connected_protocol():
    protocol = RecordingProtocol()
    protocol.makeConnection(FakeTransport())
    return protocol


texts = st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), max_size=20)
bodies = st.binary(max_size=300)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(texts, bodies), min_size=1, max_size=6), st.lists(st.integers(1, 40), min_size=1))
def test_messages_are_the_same_however_the_stream_is_split(requests, sizes):
    sent = [m.encode(HELLO)]
    for number, (trace, body) in enumerate(requests):
        message = m.SubmitRequest(
            id=number, request_class="p", tenant="q", volume=1, timeout_ms=5, size=len(body), trace=trace
        )
        sent.append(m.encode(message, body))
    data, protocol, at, count = b"".join(sent), connected_protocol(), 0, 0
    while at < len(data):
        size = sizes[count % len(sizes)]
        protocol.dataReceived(data[at : at + size])
        at, count = at + size, count + 1
    assert [(each.trace, body) for each, body, _ in protocol.received[1:]] == requests
    assert not protocol.transport.closed and all(
        stream_state is StreamState.COMPLETE for _, _, stream_state in protocol.received[1:]
    )


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_arbitrary_bytes_give_messages_or_one_error_notice(data):
    protocol = connected_protocol()
    protocol.dataReceived(m.encode(HELLO))
    protocol.dataReceived(data)
    if protocol.transport.closed:
        assert protocol.failure is not None and protocol.transport.data.count(b'"m":"fault"') == 1
    protocol.connectionLost()


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200) | texts.map(str.encode))
def test_decoding_raises_only_malformed_message_errors(line):
    try:
        message = m.decode(line)
    except MalformedMessageError:
        return
    assert m.decode(m.encode(message)[:-2]) == message


def test_an_encoded_message_decodes_to_an_equal_one():
    served = m.AttemptServed(id=3, size=5, load={"rif": 2.0}, volume_used=0.5, elsewhere=7, shard=2)
    line, _, body = m.encode(served, b"12345").partition(b"\r\n")
    assert m.decode(line) == served and served.body == 5 and body == b"12345"


def test_unknown_fields_are_ignored_and_unknown_messages_are_errors():
    assert m.decode(b'{"m":"leave","id":4,"later":"field"}') == m.CancelRequest(id=4)
    with pytest.raises(MalformedMessageError, match="dance"):
        m.decode(b'{"m":"dance"}')


def submit_request(number, **more):
    return m.SubmitRequest(id=number, request_class="p", tenant="q", volume=1, timeout_ms=5, **more)


def state_after(state, *messages):
    for side in Role:
        state.apply(side, HELLO)
    for side, message in messages:
        state.apply(side, message)
    return state


REQUESTER, RESPONDER = Role.REQUESTER, Role.RESPONDER


@pytest.mark.parametrize(
    ("before", "side", "message", "code"),
    [
        ([], RESPONDER, submit_request(1), "wrong_side"),
        ([(REQUESTER, submit_request(4))], REQUESTER, submit_request(4), "repeated_id"),
        ([(REQUESTER, submit_request(4))], REQUESTER, submit_request(2), "repeated_id"),
        ([], RESPONDER, m.RequestRejected(id=1), "never_opened"),
        (
            [(REQUESTER, submit_request(1)), (RESPONDER, m.RequestRejected(id=1))],
            RESPONDER,
            m.RequestFailed(id=1),
            "over",
        ),
        (
            [(REQUESTER, submit_request(1)), (RESPONDER, m.RequestServed(id=1))],
            RESPONDER,
            m.RequestServed(id=1),
            "over",
        ),
        (
            [(REQUESTER, submit_request(1)), (RESPONDER, m.RequestServed(id=1, size=3))],
            RESPONDER,
            m.BodyChunk(id=1, body=4),
            "body_too_long",
        ),
        ([(REQUESTER, submit_request(1, size=3))], REQUESTER, m.BodyChunk(id=1, body=4), "body_too_long"),
        ([(REQUESTER, submit_request(1))], REQUESTER, m.BodyChunk(id=1, body=4), "illegal"),
        ([(REQUESTER, submit_request(1))], REQUESTER, m.GoAway(), None),
        ([(REQUESTER, m.GoAway())], REQUESTER, submit_request(1), "after_bye"),
        ([], REQUESTER, m.Hello(version=1, role="x"), "second_hello"),
        ([(REQUESTER, submit_request(1))], RESPONDER, m.AttemptCancelled(id=1), "illegal"),
        (
            [(REQUESTER, submit_request(1)), (RESPONDER, m.RequestRejected(id=1))],
            REQUESTER,
            m.CancelRequest(id=1),
            None,
        ),  # it crossed the response
        (
            [(REQUESTER, submit_request(1)), (REQUESTER, m.CancelRequest(id=1))],
            RESPONDER,
            m.RequestServed(id=1, size=9),
            None,
        ),
        (
            [(REQUESTER, submit_request(1, size=9)), (RESPONDER, m.RequestRejected(id=1))],
            REQUESTER,
            m.BodyChunk(id=1, body=9),
            None,
        ),
        (
            [
                (REQUESTER, submit_request(1)),
                (REQUESTER, m.CancelRequest(id=1)),
                (RESPONDER, m.RequestCancelled(id=1)),
            ],
            RESPONDER,
            m.RequestRejected(id=1),
            "over",
        ),
    ],
)
def test_each_transition_is_legal_or_an_error_with_its_code(before, side, message, code):
    state = state_after(client_connection_state(), *before)
    if code is None:
        state.apply(side, message)
        return
    with pytest.raises(ProtocolViolationError) as raised:
        state.apply(side, message)
    assert raised.value.code == code


def test_hello_must_come_first_with_a_supported_version():
    with pytest.raises(ProtocolViolationError, match="before hello"):
        node_connection_state().apply(REQUESTER, m.HealthCheck(id=1))
    with pytest.raises(ProtocolViolationError, match="version 9"):
        node_connection_state().apply(REQUESTER, m.Hello(version=9, role="node"))


def test_closed_streams_are_removed():
    state = state_after(node_connection_state())
    for number in range(1, 500):
        state.apply(REQUESTER, m.SendAttempt(id=number, idempotency_key="x", request_class="p", volume=1))
        state.apply(RESPONDER, m.AttemptServed(id=number))
    assert not state.streams


def test_a_list_server_sends_lists_only_after_watch_endpoints():
    state = state_after(ListConnectionState())
    with pytest.raises(ProtocolViolationError, match="nobody asked"):
        state.apply(RESPONDER, m.EndpointListMessage(kind="full", epoch=1))
    state.apply(REQUESTER, m.WatchEndpoints())
    state.apply(RESPONDER, m.EndpointListMessage(kind="full", epoch=1))
    with pytest.raises(ProtocolViolationError, match="no place"):
        state.apply(REQUESTER, submit_request(1))


def test_every_message_has_a_unique_name():
    names = [each.__struct_config__.tag for each in m.AnyMessage.__args__]
    assert len(set(names)) == len(names) and all(
        issubclass(each, msgspec.Struct) for each in m.AnyMessage.__args__
    )


def test_an_illegal_message_of_this_side_is_a_local_error_not_a_violation_by_the_peer():
    protocol = connected_protocol()
    with pytest.raises(LocalProtocolError, match="before hello"):
        protocol.send_message(m.RequestRejected(id=1))
    assert protocol.failure is None and not protocol.transport.data
    protocol.dataReceived(m.encode(m.CancelRequest(id=1)))
    assert isinstance(protocol.failure, RemoteProtocolError) and protocol.failure.code == "no_hello"
    assert all(issubclass(each, WireError) for each in (LocalProtocolError, MalformedMessageError))


@pytest.mark.parametrize(
    ("before", "text"),
    [
        ([(REQUESTER, submit_request(1, size=3))], "asked"),
        ([(REQUESTER, submit_request(1))], "whole"),
        ([(REQUESTER, submit_request(1)), (REQUESTER, m.CancelRequest(id=1))], "left"),
        ([(REQUESTER, submit_request(1)), (RESPONDER, m.RequestServed(id=1, size=3))], "answering"),
        (
            [
                (REQUESTER, submit_request(1)),
                (RESPONDER, m.RequestServed(id=1, size=3)),
                (REQUESTER, m.CancelRequest(id=1)),
            ],
            "left answering",
        ),
        ([(REQUESTER, submit_request(1, size=3)), (RESPONDER, m.RequestRejected(id=1))], "refused"),
    ],
)
def test_state_texts_sent_to_peers_are_those_of_the_protocol(before, text):
    state = state_after(client_connection_state(), *before)
    with pytest.raises(ProtocolViolationError) as raised:
        state.apply(REQUESTER, m.WindowUpdate(id=1, increment_bytes=1))
    assert str(raised.value) == f"credit for 1, which is {text}" and set(STATE_TEXTS) == set(StreamState)
