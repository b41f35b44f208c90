"""
bench.requests_site
~~~~~~~~~~~~~~~~~~~

The site of the requests bench: daemons, stand-in endpoints and the baseline proxy on loopback, and
the profiles of the requests.
"""

import contextlib
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

import anyio
import httpcore
import msgspec

from bulrushhollow.sessions import Session
from bulrushhollow_core.changes import Edit, PutDataCentre, PutProfile, PutWorkspace
from bulrushhollow_core.ids import DataCentreId, ProfileName, WorkspaceId
from bulrushhollow_core.models import DataCentre, Profile, Urgency, WorkKind, Workspace
from standins._children import Child
from standins._endpoint import EndpointControl, EndpointCounts
from standins.cluster import Cluster

SERVICE = "orders"
LABELS = "labels"
FORECASTS = "forecasts"
ONCE = "once"

SETTLE_SECONDS = 6.0
"""Seconds for endpoints to announce themselves and for instances to get their slot shares."""

PROFILES = (
    (LABELS, Urgency.URGENT, True, 2.0),
    (FORECASTS, Urgency.OVERNIGHT, True, 20.0),
    (ONCE, Urgency.NORMAL, False, 5.0),
)
"""Profiles as name, urgency, whether idempotent, and deadline in seconds."""


class RequestSite:
    """
    A cluster of daemons with stand-in endpoints.

    :param cluster: the daemons.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.endpoints_by_name: dict[str, str] = {}
        self._children_by_name: dict[str, Child] = {}

    def add_endpoint(
        self, name: str, data_centre: str, options: Sequence[str], stack: contextlib.ExitStack
    ) -> None:
        """Start an endpoint that announces itself to the daemons in turn."""
        entries = ",".join(self.cluster.entries)
        command = [sys.executable, "-m", "standins.endpoint", "--id", name]
        command += ["--data-centre", data_centre, "--announce-to", entries, *options]
        child = stack.enter_context(Child(name, command))
        self._children_by_name[name] = child
        self.endpoints_by_name[name] = f"http://{child.read_address()}"

    def kill_endpoint(self, name: str) -> None:
        """Kill an endpoint's process."""
        self._children_by_name[name].__exit__(None, None, None)

    def counts(self, name: str) -> EndpointCounts | None:
        """Return the counters of an endpoint, or None if it does not answer."""
        try:
            answer = httpcore.request("GET", self.endpoints_by_name[name] + "/counts")
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return None
        return msgspec.json.decode(answer.content, type=EndpointCounts)

    def control(self, name: str, control: EndpointControl) -> None:
        """Set the behaviour of an endpoint."""
        body = msgspec.json.encode(control)
        httpcore.request("POST", self.endpoints_by_name[name] + "/control", content=body)


@contextlib.contextmanager
def open_site(
    daemons_by_data_centre: Mapping[str, int],
    endpoints_by_data_centre: Mapping[str, int],
    endpoint_options: Sequence[str] = (),
) -> Iterator[RequestSite]:
    """Start and configure a site and wait until it accepts requests."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            Path(folder),
            daemons_by_data_centre,
            voters=min(3, sum(daemons_by_data_centre.values())),
            platform_options=None,
        )
        with cluster:
            cluster.wait_until_ready()
            anyio.run(_configure, cluster)
            options = ["--service", SERVICE, *endpoint_options]
            site = RequestSite(cluster)
            with contextlib.ExitStack() as stack:
                for data_centre, count in endpoints_by_data_centre.items():
                    for number in range(1, count + 1):
                        site.add_endpoint(f"{data_centre}-e{number}", data_centre, options, stack)
                time.sleep(SETTLE_SECONDS)
                yield site


@contextlib.contextmanager
def open_baseline(endpoints: Sequence[str]) -> Iterator[str]:
    """Start the baseline proxy and return its base address."""
    addresses = ",".join(address.removeprefix("http://") for address in endpoints)
    command = [sys.executable, "-m", "bench.round_robin", "--endpoints", addresses]
    with Child("round-robin", command) as child:
        yield f"http://{child.read_address()}"


async def _configure(cluster: Cluster) -> None:
    workspaces = {name: WorkspaceId(f"{name}-team") for name, _, _, _ in PROFILES}
    edits: list[Edit] = [
        PutDataCentre(DataCentre(DataCentreId(data_centre))) for data_centre in cluster.data_centres
    ]
    edits += [PutWorkspace(Workspace(workspace)) for workspace in workspaces.values()]
    edits += [
        PutProfile(
            Profile(
                ProfileName(name),
                WorkKind.REQUEST,
                workspaces[name],
                urgency,
                idempotent,
                deadline,
                SERVICE,
            )
        )
        for name, urgency, idempotent, deadline in PROFILES
    ]
    async with Session(cluster.entries[:1]) as session:
        version = (await session.configuration()).version
        for edit in edits:
            version = (await session.change(edit, base_version=version)).version
