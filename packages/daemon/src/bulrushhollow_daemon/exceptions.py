"""
bulrushhollow_daemon.exceptions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The exceptions of the daemon's own layer.
"""


class DaemonError(Exception):
    """Base of all errors that the daemon raises."""


class SettingsError(DaemonError):
    """
    A setting has a value that is not allowed.

    :param flag: the flag, as typed.
    :param allowed: what the flag accepts.
    """

    def __init__(self, flag: str, allowed: str) -> None:
        super().__init__(f"{flag}: {allowed}")
        self.flag = flag
        self.allowed = allowed


class PeerRefusedError(DaemonError):
    """A stream was opened by an instance that is not among the settings' peers."""


class PlatformUnreachableError(DaemonError):
    """The worker platform did not give a whole answer."""
