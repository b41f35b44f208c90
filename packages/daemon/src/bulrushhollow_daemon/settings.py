"""
bulrushhollow_daemon.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The settings of one daemon and their validation. Every value is validated before anything is opened
or written, and an error names the flag and the values that it accepts.
"""

import pathlib
import re
from collections.abc import Iterable
from enum import Enum

import msgspec

from bulrushhollow_core.endpoints import MAX_ADDRESS_LENGTH, MAX_PORT, is_host
from bulrushhollow_core.ids import DataCentreId, InstanceName, Seconds
from bulrushhollow_daemon.exceptions import SettingsError

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,31}\Z")
"""Valid names of instances and data centres."""

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class TraceExporter(Enum):
    """Destination of finished spans."""

    NONE = "none"
    LOG = "log"


class LogFormat(Enum):
    """Format of log lines."""

    JSON = "json"
    TEXT = "text"


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerAddress(msgspec.Struct, frozen=True):
    """
    The name, place and address of another instance.

    :param has_disk: whether the instance has a data folder, which it needs to vote in the log.
    """

    name: InstanceName
    data_centre: DataCentreId
    address: Address
    has_disk: bool


class Limits(msgspec.Struct, frozen=True):
    """
    Limits on the memory and time that callers and peers can use.

    :param request_bytes: largest body of a request.
    :param answer_bytes: largest body of an endpoint's answer.
    :param control_bytes: largest body of any other call.
    :param queued_requests: most requests that wait for an endpoint.
    :param connections: most open connections of callers.
    :param body_timeout: seconds within which a caller must send its whole body.
    :param drain: seconds that a planned stop waits for requests in flight.
    """

    request_bytes: int = MEBIBYTE
    answer_bytes: int = 4 * MEBIBYTE
    control_bytes: int = 256 * KIBIBYTE
    queued_requests: int = 512
    connections: int = 1024
    body_timeout: Seconds = Seconds(10.0)
    drain: Seconds = Seconds(30.0)


class Settings(msgspec.Struct, frozen=True):
    """
    All settings of one daemon.

    :param name: this instance's name; unique among the peers.
    :param data_centre: data centre of this instance.
    :param http: address for callers, operators, endpoints and the load balancer.
    :param peer_listen: address for the other instances.
    :param peers: every other instance.
    :param data_folder: folder for durable state, or None for an instance without a disk.
    :param found: whether to create a new log if the folder is empty and no peer belongs to a log.
    :param platform: base URL of the worker platform of this data centre, or None.
    :param seed: seed of the random generator, or None for a random one.
    :param faults: whether the development call for fault injection is enabled.
    """

    name: InstanceName
    data_centre: DataCentreId
    http: Address
    peer_listen: Address
    peers: tuple[PeerAddress, ...] = ()
    data_folder: pathlib.Path | None = None
    found: bool = False
    platform: str | None = None
    seed: int | None = None
    log_level: str = "INFO"
    log_format: LogFormat = LogFormat.JSON
    trace: TraceExporter = TraceExporter.NONE
    faults: bool = False
    limits: Limits = Limits()


def parse_name(flag: str, text: str) -> str:
    """
    Validate a name.

    :raises SettingsError: if it is not made of lower-case letters, digits and hyphens.
    """
    if not NAME_PATTERN.match(text):
        raise SettingsError(flag, f"{text!r} is not 1 to 32 of a-z, 0-9 and '-'")
    return text


def parse_address(flag: str, text: str) -> Address:
    """
    Parse ``IP:PORT``.

    :raises SettingsError: if it is not an IP address and a port from 0 to 65535.
    """
    host, _, port = text.rpartition(":")
    if len(text) > MAX_ADDRESS_LENGTH or not is_host(host.strip("[]")):
        raise SettingsError(flag, f"{text!r} is not IP:PORT with an IP address")
    if not (port.isascii() and port.isdigit() and len(port) <= 5) or int(port) > MAX_PORT:
        raise SettingsError(flag, f"{text!r} does not end in a port from 0 to 65535")
    return Address(host.strip("[]"), int(port))


def parse_peer(flag: str, text: str) -> PeerAddress:
    """
    Parse ``NAME=DATACENTRE=IP:PORT``, followed by ``=disk`` if the peer has a disk.

    :raises SettingsError: if a part is missing or invalid.
    """
    parts = text.split("=")
    has_disk = len(parts) == 4 and parts[3] == "disk"
    if len(parts) != 3 and not has_disk:
        raise SettingsError(flag, f"{text!r} is not NAME=DATACENTRE=IP:PORT or ...=disk")
    name = InstanceName(parse_name(flag, parts[0]))
    data_centre = DataCentreId(parse_name(flag, parts[1]))
    return PeerAddress(name, data_centre, parse_address(flag, parts[2]), has_disk)


def parse_url(flag: str, text: str) -> str:
    """
    Validate ``http://IP:PORT`` and return it without a trailing slash.

    :raises SettingsError: if it has any other form.
    """
    scheme, _, rest = text.partition("://")
    if scheme != "http":
        raise SettingsError(flag, f"{text!r} is not http://IP:PORT")
    return f"http://{parse_address(flag, rest.rstrip('/'))}"


def validate_range(flag: str, value: float, low: float, high: float) -> None:
    """
    Validate that a number is in a range.

    :raises SettingsError: if it is not from low to high.
    """
    if not low <= value <= high:
        raise SettingsError(flag, f"{value} is not from {low} to {high}")


def validate_settings(settings: Settings) -> None:
    """
    Validate the limits and the combination of several settings.

    :raises SettingsError: at the first invalid value or contradiction.
    """
    names = [peer.name for peer in settings.peers]
    if len(set(names)) != len(names):
        raise SettingsError("--peer", "each name may be given only once")
    if settings.name in names:
        raise SettingsError("--peer", f"{settings.name!r} is this instance's own --name")
    if settings.found and settings.data_folder is None:
        raise SettingsError("--found", "needs --data-folder")
    folder = settings.data_folder
    if folder is not None and folder.exists() and not folder.is_dir():
        raise SettingsError("--data-folder", f"{str(folder)!r} is not a folder")
    _validate_limits(settings.limits)


def _validate_limits(limits: Limits) -> None:
    ranges: Iterable[tuple[str, float, float, float]] = (
        ("--request-bytes", limits.request_bytes, 1, 64 * MEBIBYTE),
        ("--answer-bytes", limits.answer_bytes, 1, 64 * MEBIBYTE),
        ("--control-bytes", limits.control_bytes, KIBIBYTE, 16 * MEBIBYTE),
        ("--queued-requests", limits.queued_requests, 1, 65536),
        ("--connections", limits.connections, 1, 65536),
        ("--body-timeout", limits.body_timeout, 0.1, 600),
        ("--drain", limits.drain, 0, 3600),
    )
    for flag, value, low, high in ranges:
        validate_range(flag, value, low, high)
