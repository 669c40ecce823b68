"""Signals at every stage of a process's life, each forced at a named point."""

import signal

import pytest
from relay_process import Relay, ask
from test_service import PING, read, value

BEFORE_SERVING = [
    "import:ochrecourse.service.start_settings",  # the first of the program's own parts after the handlers
    "import:json",
    "import:twisted.internet.tcp",
    "import:ochrecourse.scheduler.scheduler",
    "call:read_start_file",  # the start file
    "call:install_monotonic_reactor",
    "call:GatewayService.__init__",
]
SERVING = [
    "call:GatewayService.serve",
    "return:GatewayService.serve",
    "call:ReactorBase.run",
    "call:ReactorBase.mainLoop",
]
LEAVING = [
    "call:GatewayService.shut_down", "return:GatewayService.shut_down", "call:GatewayService._stop_listening", "call:RespServerFactory.shut_down",
    "call:GatewayService._connections_drained", "call:GatewayService._stop", "call:DiscoveryWatch.stop", "call:ReactorBase.disconnectAll",
    "return:ReactorBase.mainLoop", "return:ReactorBase.run", "exit:", "late:",
]  # fmt: skip


def point(where, *signals):
    return f"{where}:{'+'.join(signals)}"


def ended_in_order(relay):
    return relay.end() == 0 and not any("Traceback" in line or "unexpected" in line for line in relay.seen)


@pytest.mark.parametrize("signals", [("TERM", "TERM"), ("INT",), ("HUP", "TERM", "HUP")])
@pytest.mark.parametrize("where", BEFORE_SERVING)
def test_an_order_to_end_before_serving_ends_the_process_with_nothing_accepted(tmp_path, where, signals):
    with Relay(tmp_path, point(where, *signals)) as relay:
        assert ended_in_order(relay)
        assert not any("serves at" in line for line in relay.seen)


@pytest.mark.parametrize("where", BEFORE_SERVING + SERVING)
def test_an_order_to_read_the_file_again_is_kept_until_it_can_be_followed(tmp_path, where):
    with Relay(tmp_path, point(where, "HUP", "HUP", "HUP")) as relay:
        port = relay.port()
        relay.until("start file read again")
        with relay.connect(port) as client:
            assert ask(client, PING + read(1), b"+PONG\r\n" + value(1)) == b"+PONG\r\n" + value(1)
            relay.send()
            relay.until("leaving")
        assert ended_in_order(relay)


@pytest.mark.parametrize("signals", [("TERM",), ("INT", "TERM"), ("HUP", "TERM")])
@pytest.mark.parametrize("where", SERVING)
def test_an_order_to_end_that_comes_while_serving_begins_is_an_end_in_order(tmp_path, where, signals):
    with Relay(tmp_path, point(where, *signals)) as relay:
        with relay.connect(relay.port()) as client:
            assert ask(client, read(1), value(1)) == value(1)
            relay.until("leaving")
            assert client.recv(1) == b""
        assert ended_in_order(relay)
        assert sum("leaving" in line for line in relay.seen) == 1
        assert any("read again" in line for line in relay.seen) is ("HUP" in signals)


@pytest.mark.parametrize("signals", [("TERM", "INT"), ("HUP", "HUP"), ("HUP", "TERM", "HUP")])
@pytest.mark.parametrize("where", LEAVING)
def test_signals_while_the_process_leaves_change_neither_its_order_nor_its_exit_code(
    tmp_path, where, signals
):
    with Relay(tmp_path, point(where, *signals)) as relay:
        with relay.connect(relay.port()) as client:
            assert ask(client, PING, b"+PONG\r\n") == b"+PONG\r\n"
            relay.send()
            relay.until("leaving")
            assert ask(client, read(1), value(1)) == value(1)
            assert client.recv(1) == b""
        assert ended_in_order(relay)
        assert sum("leaving" in line for line in relay.seen) == 1


def test_signals_in_the_loop_wake_it_and_a_reload_is_followed_by_the_end_right_behind_it(tmp_path):
    with Relay(tmp_path) as relay:
        port = relay.port()
        assert relay.agent.asked.get(timeout=120) == relay.agent_port
        relay.write(discovery=f"127.0.0.1:{relay.other_port}")
        for _ in range(20):
            relay.send(signal.SIGHUP)
        relay.send(signal.SIGTERM)
        relay.send(signal.SIGTERM)
        relay.until("leaving")
        assert relay.other.asked.get(timeout=120) == relay.other_port
        with relay.connect(port) as client:
            assert ask(client, read(1), value(1)) == value(1)
        assert ended_in_order(relay)
        assert any(
            f"read again; the list is told at 127.0.0.1:{relay.other_port}" in line for line in relay.seen
        )
