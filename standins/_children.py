"""
standins._children
~~~~~~~~~~~~~~~~~~

Child processes of the demo and the benches.
"""

import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

import httpcore
import msgspec

from standins._http import StartupLine

STOP_TIMEOUT = 20.0
"""Seconds that a child may take for its graceful shutdown."""

POLL_INTERVAL = 0.05
"""Seconds between two checks of a condition that is waited for."""


MAX_SHOWN_OUTPUT = 4000
"""Characters of a child's output that an error shows."""


class ChildError(Exception):
    """A child process did not start, become ready or stop."""


def free_address() -> str:
    """Return a loopback address whose port is free at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def command_path(name: str) -> str:
    """Return the path of a command that is installed next to this interpreter."""
    return str(Path(sys.executable).with_name(name))


class Child:
    """
    A child process that is killed when its context ends.

    :param command: the command line.
    :param log: file for its output; None to read its address from the output.
    """

    def __init__(self, name: str, command: Sequence[str], log: Path | None = None) -> None:
        """Start the process."""
        self.name = name
        self._log_path = log
        self._log = log.open("wb") if log else None
        self._process = subprocess.Popen(
            command,
            stdout=self._log or subprocess.PIPE,
            stderr=subprocess.STDOUT if self._log else None,
        )

    def __enter__(self) -> Self:
        """Return the child."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the process if it still runs, and close its output."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for stream in (self._log, self._process.stdout):
            if stream is not None:
                stream.close()

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def read_address(self) -> str:
        """Return the address that a stand-in prints when it has started."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        try:
            return msgspec.json.decode(line, type=StartupLine).address
        except msgspec.DecodeError:
            raise ChildError(f"{self.name} did not start") from None

    def wait_until_ready(self, url: str, seconds: float) -> None:
        """Wait until the readiness check of a daemon passes."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self._process.poll() is not None:
                code = self._process.returncode
                raise ChildError(f"{self.name} ended with code {code}{self._last_output()}")
            if _get_status(f"{url}/readyz") == 200:
                return
            time.sleep(POLL_INTERVAL)
        raise ChildError(f"{self.name} was not ready within {seconds:g} s")

    def _last_output(self) -> str:
        """Return the end of the log, from which the reason of a failure can be told."""
        if self._log_path is None:
            return ""
        return ":\n" + self._log_path.read_text(errors="replace")[-MAX_SHOWN_OUTPUT:]

    def stop(self) -> int:
        """Stop the process by a graceful shutdown and return its exit code."""
        self._process.terminate()
        try:
            return self._process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            raise ChildError(f"{self.name} did not stop within {STOP_TIMEOUT:g} s") from None


def _get_status(url: str) -> int:
    try:
        return httpcore.request("GET", url).status
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return 0
