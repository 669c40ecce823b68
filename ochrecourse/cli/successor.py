"""`serve --take-over`: the steps by which this process replaces the running one.

It obtains the listening sockets, then the endpoint list, then the journal of the fleet, and only then accepts
connections. The running process continues as before until this is confirmed. cli/handover.py describes the
messages.

Imported only after the process's reactor is installed.
"""

from __future__ import annotations

from twisted.internet.error import CannotListenError

from ochrecourse.cli import handover
from ochrecourse.cli.control_server import serve_control
from ochrecourse.cli.gateway_process import EXIT_BAD_SETTINGS, GatewayProcess, StartError
from ochrecourse.cli.handover import HandoverRequest, socket_address
from ochrecourse.cli.handover_client import SendRequest, request_sockets
from ochrecourse.gateway.socket_handover import socket_mismatch
from ochrecourse.storage.journal import JournalError


class Successor:
    """The process that takes over from the running one."""

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process
        self.daemon = process.daemon
        self.reactor = process.reactor
        self.settings = process.settings

    def start(self) -> None:
        """Requests the running process's sockets. Raises StartError if no control socket is set."""
        control = self.process.control_path
        if not control:
            raise StartError(
                f"{self.process.file}: --take-over asks the running process at gateway.control; set it",
                EXIT_BAD_SETTINGS,
            )
        self.daemon.watch_endpoints()
        self.reactor.callLater(handover.TAKEOVER_TIMEOUT_S, self._timed_out)
        request_sockets(self.reactor, control, self._sockets_received, self.process.fail)

    def _sockets_received(self, descriptors: dict[str, int], send_request: SendRequest) -> None:
        """Waits for the endpoint list first: until then, the running process serves better than this one."""
        self.process.sockets.descriptors = descriptors
        addresses = {name: socket_address(descriptor) for name, descriptor in descriptors.items()}
        moved = socket_mismatch(self.settings, addresses)
        if moved:
            self.process.fail(moved)
        else:
            self._wait_for_list(send_request)

    def _wait_for_list(self, send_request: SendRequest) -> None:
        if not self.daemon.gateway.entries:
            self.reactor.callLater(handover.POLL_INTERVAL_S, self._wait_for_list, send_request)
        elif "fleet" in self.settings:
            send_request(HandoverRequest.RELEASE_FLEET, lambda: self._join_fleet(send_request))
        else:
            self._accept(send_request)

    def _join_fleet(self, send_request: SendRequest, waited_s: float = 0.0) -> None:
        """Opens the fleet's journal; a process that was just killed may still lock it for a moment."""
        if self.process.failure:
            return
        try:
            self.daemon.join_fleet()
        except (JournalError, OSError) as error:
            if waited_s >= handover.LOCK_TIMEOUT_S:
                self.process.fail(f"what the state folder keeps is not to be had: {error}")
            else:
                waited_s += handover.POLL_INTERVAL_S
                self.reactor.callLater(handover.POLL_INTERVAL_S, self._join_fleet, send_request, waited_s)
            return
        self._accept(send_request)

    def _accept(self, send_request: SendRequest) -> None:
        try:
            lines = self.process.accept(self.process.sockets.listen)
        except CannotListenError as error:
            self.process.fail(f"cannot listen: {error.socketError}")
            return
        send_request(HandoverRequest.ACCEPTS, lambda: self._control_path_free(lines))

    def _control_path_free(self, lines: list[str]) -> None:
        """Opens the control socket: the previous process has closed its own, on the same path."""
        process = self.process
        try:
            serve_control(self.reactor, process.control_path, self.daemon, process.sockets)
        except CannotListenError as error:
            process.log.warning(
                "no control socket", path=process.control_path, trouble=str(error.socketError)
            )
        process.announce(lines)

    def _timed_out(self) -> None:
        """Guards against a running process that hangs: it accepts the connection and never answers."""
        if self.daemon.client_port is None and self.daemon.gateway.shutdown.accepts_requests():
            received = self.process.sockets.descriptors
            missing = "list of nodes came" if received else "answer came from the running gateway"
            self.process.fail(f"no {missing} within {handover.TAKEOVER_TIMEOUT_S:g} s")
