"""Signals at every stage of a process's lifetime, each sent at a named point."""

import signal

import pytest
from relay_process import RelayProcess, send_and_receive
from test_service import PING, read, value

BEFORE_SERVING = [
    "import:ochrecourse.service.start_settings",  # the first of the program's modules that is imported after the handlers
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
SHUTTING_DOWN = [
    "call:GatewayService.shut_down", "return:GatewayService.shut_down", "call:GatewayService._stop_listening", "call:RespServerFactory.shut_down",
    "call:GatewayService._connections_drained", "call:GatewayService._stop", "call:DiscoveryWatch.stop", "call:ReactorBase.disconnectAll",
    "return:ReactorBase.mainLoop", "return:ReactorBase.run", "exit:", "late:",
]  # fmt: skip


def signal_point(where, *signals):
    return f"{where}:{'+'.join(signals)}"


def exited_cleanly(relay):
    return relay.wait_for_exit() == 0 and not any(
        "Traceback" in line or "unexpected" in line for line in relay.log_lines
    )


@pytest.mark.parametrize("signals", [("TERM", "TERM"), ("INT",), ("HUP", "TERM", "HUP")])
@pytest.mark.parametrize("where", BEFORE_SERVING)
def test_a_termination_signal_before_serving_ends_the_process_without_accepting_clients(
    tmp_path, where, signals
):
    with RelayProcess(tmp_path, signal_point(where, *signals)) as relay:
        assert exited_cleanly(relay)
        assert not any("serves at" in line for line in relay.log_lines)


@pytest.mark.parametrize("where", BEFORE_SERVING + SERVING)
def test_a_reload_signal_stays_pending_until_it_can_be_handled(tmp_path, where):
    with RelayProcess(tmp_path, signal_point(where, "HUP", "HUP", "HUP")) as relay:
        port = relay.port()
        relay.wait_for_line("start file read again")
        with relay.connect(port) as client:
            assert send_and_receive(client, PING + read(1), b"+PONG\r\n" + value(1)) == b"+PONG\r\n" + value(
                1
            )
            relay.send()
            relay.wait_for_line("leaving")
        assert exited_cleanly(relay)


@pytest.mark.parametrize("signals", [("TERM",), ("INT", "TERM"), ("HUP", "TERM")])
@pytest.mark.parametrize("where", SERVING)
def test_a_termination_signal_while_serving_begins_causes_a_graceful_shutdown(tmp_path, where, signals):
    with RelayProcess(tmp_path, signal_point(where, *signals)) as relay:
        with relay.connect(relay.port()) as client:
            assert send_and_receive(client, read(1), value(1)) == value(1)
            relay.wait_for_line("leaving")
            assert client.recv(1) == b""
        assert exited_cleanly(relay)
        assert sum("leaving" in line for line in relay.log_lines) == 1
        assert any("read again" in line for line in relay.log_lines) is ("HUP" in signals)


@pytest.mark.parametrize("signals", [("TERM", "INT"), ("HUP", "HUP"), ("HUP", "TERM", "HUP")])
@pytest.mark.parametrize("where", SHUTTING_DOWN)
def test_signals_during_the_shutdown_change_neither_its_order_nor_its_exit_code(tmp_path, where, signals):
    with RelayProcess(tmp_path, signal_point(where, *signals)) as relay:
        with relay.connect(relay.port()) as client:
            assert send_and_receive(client, PING, b"+PONG\r\n") == b"+PONG\r\n"
            relay.send()
            relay.wait_for_line("leaving")
            assert send_and_receive(client, read(1), value(1)) == value(1)
            assert client.recv(1) == b""
        assert exited_cleanly(relay)
        assert sum("leaving" in line for line in relay.log_lines) == 1


def test_signals_wake_the_event_loop_and_a_reload_is_handled_before_a_termination(tmp_path):
    with RelayProcess(tmp_path) as relay:
        port = relay.port()
        assert relay.agent.asked.get(timeout=120) == relay.agent_port
        relay.write(discovery=f"127.0.0.1:{relay.other_port}")
        for _ in range(20):
            relay.send(signal.SIGHUP)
        relay.send(signal.SIGTERM)
        relay.send(signal.SIGTERM)
        relay.wait_for_line("leaving")
        assert relay.other.asked.get(timeout=120) == relay.other_port
        with relay.connect(port) as client:
            assert send_and_receive(client, read(1), value(1)) == value(1)
        assert exited_cleanly(relay)
        assert any(
            f"read again; the list is told at 127.0.0.1:{relay.other_port}" in line
            for line in relay.log_lines
        )
