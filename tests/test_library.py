"""Public names of earlier versions of the library: each works as before and issues a deprecation warning."""

import dataclasses
import warnings
from pathlib import Path

import pytest
from test_service import FLAT
from test_standing import FakeNodeConnection

from ochrecourse import library
from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.common import requests
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.fleet.channel import AppendRejectedError, Delivery
from ochrecourse.fleet.entries import Timestamp
from ochrecourse.gateway.request_body import RequestBody
from ochrecourse.interface import Outcome, Reply
from ochrecourse.lab.days import quiet
from ochrecourse.lab.play import make_fleet
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.wire import messages as m

ROOT = Path(__file__).parent.parent
RENAMED_CLASSES = {
    "Asker": "ResponseHandler",
    "BadRequest": "BadRequestError",
    "Closing": "RequestOutcome",
    "Follower": "ListServerWatcher",
    "JobStory": "RequestRecord",
    "LegStory": "AttemptRecord",
    "News": "EndpointListUpdate",
    "Observer": "RequestObserver",
    "Spool": "RequestBody",
}
NODE = library.NodeEntry(7, 0, 0, library.Health.READY, 0)


class OldHandler:
    """A response handler of the old form."""

    def __init__(self):
        self.calls = []

    def fulfilled(self, job, size, shard):
        self.calls.append(("fulfilled", job, size, shard))

    def piece(self, job, data):
        self.calls.append(("piece", job, data))

    def broke_off(self, job):
        self.calls.append(("broke_off", job))

    def denied(self, job, come_back):
        self.calls.append(("denied", job, come_back))

    def written_off(self, job):
        self.calls.append(("written_off", job))


class NewHandler:
    """A response handler of the current form."""

    def __init__(self):
        self.calls = []

    def served(self, request_id, size, shard):
        self.calls.append(("served", request_id, size, shard))

    def rejected(self, request_id, retry_after):
        self.calls.append(("rejected", request_id, retry_after))

    def failed(self, request_id):
        self.calls.append(("failed", request_id))


class OldObserver:
    """An observer of the old form."""

    def __init__(self):
        self.stories = []

    def job_over(self, gateway, story):
        self.stories.append((gateway, story))


class NewObserver:
    """An observer of the current form."""

    def __init__(self):
        self.records = []

    def request_finished(self, gateway, record):
        self.records.append((gateway, record))


class OneNode:
    """A library gateway with one storage node whose answers are supplied by the test."""

    def __init__(self, observers=()):
        self.network = library.VirtualNetwork(seed=1)
        self.pending_connections = []
        self.gateway = library.Gateway(
            values=FLAT,
            seed=7,
            clock=self.network,
            open_connection=self._open_connection,
            name="n0",
            observers=observers,
        )
        self.gateway.endpoint_list_received(library.ListKind.FULL, [NODE], {7: ("h", 1)})

    def _open_connection(self, dispatcher, connection, address):
        self.pending_connections.append(connection)

    def now(self):
        return round(self.network.seconds() * SECOND)

    def request(self, timeout=2 * SECOND):
        return library.Request("read", "p0", 5, timeout, self.now(), shard=0, units=2.0, trace="a")

    def attempt(self, request_id):
        """Opens the dialled connections; returns the attempt of a request."""
        for connection in self.pending_connections:
            self.gateway.nodes.connections[connection.number] = node_connection = FakeNodeConnection(
                connection
            )
            self.gateway.nodes.connection_opened(node_connection)
        self.pending_connections.clear()
        return self.gateway.in_flight[request_id].attempt

    def serve(self, request_id, body=b"abcd", event=AttemptEvent.SERVED):
        """Supplies the node's answer to a request, with the first bytes of its body."""
        attempt = self.attempt(request_id)
        self.gateway.response_began(attempt, m.AttemptServed(id=1, size=4, body=4, shard=3))
        self.gateway.response_data(attempt, body)
        self.gateway.attempt_ended(attempt, event, None)


@pytest.fixture
def one_node():
    return OneNode()


def test_each_renamed_class_is_exported_by_both_names():
    for old, new in RENAMED_CLASSES.items():
        assert {old, new} <= set(library.__all__)
    assert all(hasattr(library, name) for name in library.__all__) and library.SURFACE == 1


def test_the_page_lists_each_old_name_with_its_new_one():
    text = (ROOT / "docs" / "library.md").read_text()
    for old, new in RENAMED_CLASSES.items():
        assert f"| `{old}` | `{new}` |" in text
    for old, new in library.JobStory._old_to_new.items():
        assert f"`{old}`" in text and f"`{new}`" in text


# --- Gateway ---


def test_list_came_is_endpoint_list_received(one_node):
    ready = library.NodeEntry(8, 0, 0, library.Health.READY, 0)
    with pytest.warns(
        DeprecationWarning, match=r"Gateway\.list_came is deprecated, use .*endpoint_list_received"
    ):
        one_node.gateway.list_came(library.ListKind.FULL, [ready], {8: ("h", 2)})
    assert one_node.gateway.entries == {8: ready} and one_node.gateway.addresses[8] == ("h", 2)


def test_list_came_accepts_its_old_keywords(one_node):
    with pytest.warns(DeprecationWarning):
        one_node.gateway.list_came(kind=library.ListKind.FULL, entries=[], addresses={})
    assert one_node.gateway.entries == {}


def test_take_calls_a_handler_of_the_old_form_with_its_answer(one_node):
    handler = OldHandler()
    with pytest.warns(DeprecationWarning, match=r"Gateway\.take is deprecated, use Gateway\.submit"):
        job = one_node.gateway.take(one_node.request(), handler)
    one_node.serve(job)
    assert job == 1 and handler.calls == [("fulfilled", 1, 4, 3), ("piece", 1, b"abcd")]


def test_take_calls_broke_off_of_an_answer_that_ends_early(one_node):
    handler = OldHandler()
    with pytest.warns(DeprecationWarning):
        job = one_node.gateway.take(request=one_node.request(), asker=handler)
    one_node.serve(job, body=b"ab", event=AttemptEvent.CLOSED_IN_RESPONSE_BODY)
    assert handler.calls == [("fulfilled", 1, 4, 3), ("piece", 1, b"ab"), ("broke_off", 1)]


def test_take_calls_denied_of_a_request_that_is_rejected(one_node):
    handler = OldHandler()
    one_node.gateway.drain()
    with pytest.warns(DeprecationWarning):
        one_node.gateway.take(one_node.request(), handler)
    assert handler.calls == [("denied", 1, 0)]


def test_take_calls_written_off_of_a_request_that_fails(one_node):
    handler = OldHandler()
    with pytest.warns(DeprecationWarning):
        job = one_node.gateway.take(one_node.request(), handler)
    reply = Reply(job, Outcome.FAILED, 0)
    one_node.gateway._reply(reply, one_node.now())
    assert handler.calls == [("written_off", 1)]


def test_take_accepts_a_handler_of_the_current_form(one_node):
    handler = NewHandler()
    one_node.gateway.drain()
    with pytest.warns(DeprecationWarning):
        one_node.gateway.take(one_node.request(), handler)
    assert handler.calls == [("rejected", 1, 0)]


def test_take_raises_bad_request_by_either_name(one_node):
    unknown = library.Request("nothing", "p0", 5, SECOND, one_node.now())
    with pytest.warns(DeprecationWarning), pytest.raises(library.BadRequest) as old:
        one_node.gateway.take(unknown, OldHandler())
    assert old.value.code == "unknown_product"
    with pytest.raises(library.BadRequestError):
        one_node.gateway.submit(unknown, NewHandler())


def test_leave_is_cancel(one_node):
    observer = NewObserver()
    one_node.gateway.observers = [observer]
    job = one_node.gateway.submit(one_node.request(), NewHandler())
    with pytest.warns(DeprecationWarning, match=r"Gateway\.leave is deprecated, use Gateway\.cancel"):
        one_node.gateway.leave(job)
    assert [record.outcome for _, record in observer.records] == [RequestOutcome.CLIENT_CLOSED]


def test_room_is_response_consumed(one_node, monkeypatch):
    consumed = []
    job = one_node.gateway.submit(one_node.request(), NewHandler())
    attempt = one_node.attempt(job)
    monkeypatch.setattr(
        one_node.gateway.nodes, "response_consumed", lambda *arguments: consumed.append(arguments)
    )
    with pytest.warns(
        DeprecationWarning, match=r"Gateway\.room is deprecated, use Gateway\.response_consumed"
    ):
        one_node.gateway.room(job, 512)
    assert consumed == [(attempt, 512)]


def test_drain_and_stop_keep_their_names(one_node):
    drained = []
    one_node.gateway.on_drained.append(lambda: drained.append(True))
    with warnings.catch_warnings():
        warnings.simplefilter("error")
        one_node.gateway.drain()
        one_node.gateway.stop()
    assert drained == [True]


def test_current_names_issue_no_warning():
    with warnings.catch_warnings():
        warnings.simplefilter("error")
        one_node = OneNode(observers=[NewObserver()])
        request_id = one_node.gateway.submit(one_node.request(), NewHandler())
        one_node.gateway.response_consumed(request_id, 1)
        one_node.gateway.cancel(request_id)


def test_a_list_of_current_observers_is_not_copied():
    observers = [NewObserver()]
    assert OneNode(observers).gateway.observers is observers


# --- Request and its body ---


def test_request_accepts_product_and_plan(one_node):
    with pytest.warns(DeprecationWarning) as issued:
        request = library.Request(product="read", plan="p0", volume=5, timeout=SECOND, read_at=9)
    assert [str(each.message) for each in issued] == [
        "Request(product=) is deprecated, use request_class=",
        "Request(plan=) is deprecated, use tenant=",
    ]
    assert all(each.filename == __file__ for each in issued)
    assert request == library.Request("read", "p0", 5, SECOND, 9)
    assert isinstance(request, requests.Request) and (request.request_class, request.tenant) == ("read", "p0")


def test_request_keeps_its_positional_order():
    request = library.Request("read", "p0", 5, SECOND, 9, 3, 2.0, 1, 4, "a", None)
    assert dataclasses.astuple(request) == ("read", "p0", 5, SECOND, 9, 3, 2.0, 1, 4, "a", None)


def test_fields_of_a_request_by_their_old_names():
    request = library.Request("read", "p0", 5, SECOND, 9)
    with pytest.warns(DeprecationWarning, match=r"Request\.product is deprecated, use request_class"):
        assert request.product == "read"
    with pytest.warns(DeprecationWarning, match=r"Request\.plan is deprecated, use tenant"):
        request.plan = "p1"
    assert request.tenant == "p1"
    with pytest.warns(DeprecationWarning):
        assert dataclasses.replace(request, plan="p2").tenant == "p2"


def test_spool_is_a_request_body():
    with pytest.warns(DeprecationWarning, match="Spool is deprecated, use RequestBody"):
        body = library.Spool(4)
    body.write(b"ab")
    with pytest.warns(DeprecationWarning, match=r"Spool\.whole is deprecated, use RequestBody\.is_complete"):
        assert not body.whole()
    with pytest.warns(DeprecationWarning, match=r"Spool\.came is deprecated, use bytes_received"):
        assert body.came == 2
    body.write(b"cd")
    assert isinstance(body, RequestBody) and body.is_complete() and body.read(0, 9) == b"abcd"


# --- records ---


def test_closing_has_the_old_names_of_the_same_values():
    names = {
        "FULFILLED": "SERVED",
        "DENIED": "REJECTED",
        "WRITTEN_OFF": "FAILED",
        "CLIENT_GONE": "CLIENT_CLOSED",
    }
    names["TOO_LATE"] = "TOO_LATE"
    assert list(library.Closing.__members__) == list(names)
    for old, new in names.items():
        assert library.Closing[old].value == RequestOutcome[new].value
    assert len(RequestOutcome) == len(library.Closing)


def test_an_old_observer_gets_the_story_of_a_job():
    observer = OldObserver()
    with pytest.warns(DeprecationWarning, match=r"Observer\.job_over is deprecated") as issued:
        one_node = OneNode(observers=[observer])
    assert issued[0].filename == __file__
    job = one_node.gateway.submit(one_node.request(), _StreamingHandler())
    one_node.serve(job)
    [(observed_gateway, story)] = observer.stories
    assert observed_gateway is one_node.gateway
    assert isinstance(story, library.JobStory) and isinstance(story, library.RequestRecord)
    assert isinstance(story.attempts[0], library.LegStory) and story.why() == "answered"
    with pytest.warns(DeprecationWarning):
        assert story.closing is library.Closing.FULFILLED and story.closing.value == "fulfilled"
        assert [(leg.number, leg.node, leg.ending) for leg in story.legs] == [
            (0, 7, library.Ending.FULFILLED)
        ]
        assert story.legs[0].why == AttemptEvent.SERVED.value


def test_old_and_current_observers_of_one_gateway():
    old, new = OldObserver(), NewObserver()
    with pytest.warns(DeprecationWarning):
        one_node = OneNode(observers=[old, new])
    job = one_node.gateway.submit(one_node.request(), _StreamingHandler())
    one_node.serve(job)
    assert len(old.stories) == len(new.records) == 1
    assert type(new.records[0][1]) is RequestRecord and new.records[0][0] is one_node.gateway


@pytest.mark.parametrize(("old", "new"), library.JobStory._old_to_new.items())
def test_fields_of_a_story_by_their_old_names(old, new):
    story = library.JobStory(1, 2, 3, 4, 5.0, 6, 7, 8, "a", [], RequestOutcome.REJECTED, False, 9, 0)
    with pytest.warns(DeprecationWarning, match=rf"JobStory\.{old} is deprecated, use {new}"):
        value = getattr(story, old)
    assert value == (library.Closing.DENIED if old == "closing" else getattr(story, new))


@pytest.mark.parametrize(("old", "new"), library.LegStory._old_to_new.items())
def test_fields_of_a_leg_by_their_old_names(old, new):
    leg = library.LegStory(0, 7, 5 * MS, 1, library.Ending.ERROR, "failed")
    with pytest.warns(DeprecationWarning, match=rf"LegStory\.{old} is deprecated, use {new}"):
        assert getattr(leg, old) == getattr(leg, new)


def test_stories_are_created_with_their_old_keywords():
    with pytest.warns(DeprecationWarning):
        leg = library.LegStory(number=0, node=7, sent=5, why="failed")
        story = library.JobStory(
            number=1, product=2, plan=3, volume=4, units=5.0, taken=6, due=7, latest=8, legs=[leg],
            closing=library.Closing.WRITTEN_OFF, answered=9, out=0,
        )  # fmt: skip
    assert isinstance(leg, AttemptRecord) and (leg.sent_at, leg.reason) == (5, "failed")
    assert story == library.JobStory(1, 2, 3, 4, 5.0, 6, 7, 8, "", [leg], RequestOutcome.FAILED, False, 9, 0)
    assert story.why() == "failed"


# --- the endpoint list and the fleet ---


def test_follower_is_a_list_server_watcher_that_delivers_news():
    network = library.VirtualNetwork(seed=1)
    servers = make_fleet(quiet(), network, lambda record: None)
    where = ("127.0.0.1", int(servers.list_address().rpartition(":")[2]))
    received = []
    with pytest.warns(DeprecationWarning, match="Follower is deprecated, use ListServerWatcher"):
        follower = library.Follower("mine", network, where, told=received.append, path=None, seed=1)
    follower.start()
    network.advance(0.5)
    follower.stop()
    assert isinstance(follower, library.ListServerWatcher) and isinstance(received[0], library.News)
    assert received[0].kind is library.ListKind.FULL and received[0].entries and received[0].addresses


def test_news_is_created_with_its_old_argument_order():
    news = library.News(library.ListKind.FULL, [NODE], {7: ("h", 1)})
    assert (news.kind, news.entries, news.addresses) == (library.ListKind.FULL, [NODE], {7: ("h", 1)})


def test_names_of_the_fleet_are_aliases():
    assert library.AppendRefused is AppendRejectedError and issubclass(library.AppendRefused, Exception)
    assert library.Stamp is Timestamp and library.Told is Delivery
    assert {"AppendRefused", "Entry", "Snapshot", "Stamp", "Told"} <= set(library.__all__)


def test_fields_of_a_stamp_and_an_entry_by_their_old_names():
    entry = library.Entry("c", "a", 5, 1, library.Stamp(1000, 7), (), b"{}")
    with pytest.warns(DeprecationWarning, match=r"Stamp\.turn is deprecated, use counter"):
        assert entry.at.turn == entry.at.counter == 7
    with pytest.warns(DeprecationWarning, match=r"Entry\.life is deprecated, use incarnation"):
        assert entry.life == entry.incarnation == 5


def test_a_stamp_is_formatted_as_before():
    assert f"{library.Stamp(1000, 7)}" == "Stamp(ms=1000, turn=7)"


def test_unchanged_names_still_exist():
    for name in ("start", "append", "read", "follow", "compact", "dump", "report", "lodge", "stop"):
        assert callable(getattr(library.Part, name))
    assert library.Ending.FULFILLED is library.Ending.SERVED


class _StreamingHandler(NewHandler):
    def body_chunk(self, request_id, data):
        self.calls.append(("body_chunk", request_id, data))
