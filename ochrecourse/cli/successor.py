"""`serve --take-over`: the steps by which this process takes the place of the one that runs now.

The sockets first, then the endpoint list, then the journal of the fleet, and only then does it accept. Until
that is confirmed the running process goes on as before. cli/handover.py has the messages.

Imported only once the process's reactor is installed.
"""

from __future__ import annotations

from twisted.internet.error import CannotListenError

from ochrecourse.cli import handover
from ochrecourse.cli.control import serve_control
from ochrecourse.cli.gateway_process import EXIT_BAD_SETTINGS, GatewayProcess, StartError
from ochrecourse.cli.handover import Says
from ochrecourse.gateway.socket_handover import moved_socket
from ochrecourse.storage.journal import JournalError


class Successor:
    """The process that takes over."""

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process
        self.daemon = process.daemon
        self.reactor = process.reactor
        self.settings = process.settings

    def start(self) -> None:
        """Asks the running process for its sockets. Raises StartError if the settings don't say where."""
        control = self.process.control_path
        if not control:
            raise StartError(
                f"{self.process.file}: --take-over asks the running process at gateway.control; set it",
                EXIT_BAD_SETTINGS,
            )
        self.daemon.watch_endpoints()
        self.reactor.callLater(handover.START_TIME, self._timed_out)
        handover.ask_for(self.reactor, control, self._sockets_received, self.process.fail)

    def _sockets_received(self, descriptors: dict[str, int], says: Says) -> None:
        """The endpoint list first: until it is there, the running process serves better than this one."""
        self.process.sockets.taken = descriptors
        addresses = {name: handover.where(number) for name, number in descriptors.items()}
        moved = moved_socket(self.settings, addresses)
        if moved:
            self.process.fail(moved)
        else:
            self._wait_for_list(says)

    def _wait_for_list(self, says: Says) -> None:
        if not self.daemon.gateway.entries:
            self.reactor.callLater(handover.LOOK, self._wait_for_list, says)
        elif "fleet" in self.settings:
            says("release", lambda: self._join_fleet(says))
        else:
            self._accept(says)

    def _join_fleet(self, says: Says, waited: float = 0.0) -> None:
        """The journal of the fleet is this process's; one that was just killed may lock it for a moment."""
        if self.process.failure:
            return
        try:
            self.daemon.join_fleet()
        except (JournalError, OSError) as error:
            if waited >= handover.LOCK_TIME:
                self.process.fail(f"what the state folder keeps is not to be had: {error}")
            else:
                self.reactor.callLater(handover.LOOK, self._join_fleet, says, waited + handover.LOOK)
            return
        self._accept(says)

    def _accept(self, says: Says) -> None:
        try:
            lines = self.process.accept()
        except CannotListenError as error:
            self.process.fail(f"cannot listen: {error.socketError}")
            return
        says("accepts", lambda: self._control_path_free(lines))

    def _control_path_free(self, lines: list[str]) -> None:
        """The process before this one has closed its control socket."""
        process = self.process
        try:
            serve_control(self.reactor, process.control_path, self.daemon, process.sockets)
        except CannotListenError as error:
            process.log.warning(
                "no control socket", path=process.control_path, trouble=str(error.socketError)
            )
        process.announce(lines)

    def _timed_out(self) -> None:
        """Guards against a running process that hangs: it takes the connection and never answers."""
        if self.daemon.client_port is None and self.daemon.gateway.shutdown.accepts_requests():
            received = self.process.sockets.taken
            missing = "list of nodes came" if received else "answer came from the running gateway"
            self.process.fail(f"no {missing} within {handover.START_TIME:g} s")
