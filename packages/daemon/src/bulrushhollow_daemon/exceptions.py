"""
bulrushhollow_daemon.exceptions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The exceptions that the daemon raises.
"""


class DaemonError(Exception):
    """Base of all errors that the daemon raises."""


class SettingsError(DaemonError):
    """
    A setting has a value that is not allowed.

    :param flag: the flag of the setting, as typed on the command line.
    :param problem: what is wrong with the value, or what the flag requires.
    """

    def __init__(self, flag: str, problem: str) -> None:
        super().__init__(f"{flag}: {problem}")
        self.flag = flag
        self.problem = problem


class PeerRefusedError(DaemonError):
    """A stream was opened by an instance that is not one of the peers in the settings."""


class PlatformUnreachableError(DaemonError):
    """The worker platform gave no answer or an incomplete one."""
