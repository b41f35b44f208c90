"""
bulrushhollow_daemon.reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The states of a node that the API returns, computed for each call.
"""

from bulrushhollow_core.answers import DataCentreStatus, EndpointStatus, InstanceStatus, JobAnswer
from bulrushhollow_core.authority import (
    AuthorityState,
    InForceEverywhere,
    InForceInside,
    OutOfServiceStatus,
)
from bulrushhollow_core.consensus import Role
from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, Seconds, name_of
from bulrushhollow_core.models import DataCentre, Service
from bulrushhollow_core.node import Node, describe_job, describe_out_of_service_status, job_answer
from bulrushhollow_core.outcomes import Refusal

VOTING_ROLES = frozenset({Role.LEADER, Role.CANDIDATE, Role.FOLLOWER})

NO_EPOCH = Epoch(0)

CONTACT_TIMEOUT = Seconds(3.0)
"""Seconds without contact after which the last load report of a lease holder no longer tells who
holds the lease, and after which a data centre counts as unreachable."""


class Reports:
    """
    Builds the answers about instances, data centres, endpoints and jobs from the state of one node.

    :param node: the node whose state is reported.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def instance(self, now: Seconds) -> InstanceStatus:
        """Return the state of this instance."""
        node = self._node
        status = node.status(now)
        jobs = node.log.ledgers.jobs
        data_centre = node.identity.data_centre
        reachable_peers = tuple(sorted(name_of(peer) for peer in node.connected_peers))
        return InstanceStatus(
            name=node.identity.name,
            instance=node.identity.me,
            data_centre=data_centre,
            ready=node.is_ready,
            leader=status.log.leader,
            term=status.log.term,
            committed=status.log.commit_index,
            last_index=status.log.last_index,
            applied=status.applied,
            configuration_version=node.configuration.version,
            voter=status.log.role in VOTING_ROLES,
            holds_lease=status.authority.state is AuthorityState.HOLDING,
            epoch=status.authority.epoch,
            requests_queued=status.router.queued,
            requests_in_flight=status.router.in_flight,
            jobs_queued=sum(map(len, jobs.queued_by_data_centre.values())),
            jobs_running=sum(map(len, jobs.started_by_data_centre.values())),
            peers_reachable=reachable_peers,
            peers_unreachable=tuple(
                sorted({peer.name for peer in node.identity.peers} - set(reachable_peers))
            ),
            shutting_down=node.is_stopping,
        )

    def data_centres(self, now: Seconds) -> tuple[DataCentreStatus, ...]:
        """Return the state of every declared data centre."""
        declared = self._node.configuration.data_centres_by_id
        return tuple(self._data_centre_status(declared[name], now) for name in sorted(declared))

    def endpoints(self, now: Seconds) -> tuple[EndpointStatus, ...]:
        """Return the state of every endpoint that this instance knows."""
        return self._node.entry.endpoints(now)

    def job(self, job: JobId) -> JobAnswer | Refusal:
        """Return the state of one job."""
        return job_answer(job, self._node.log.ledgers.jobs)

    def jobs(self) -> tuple[JobAnswer, ...]:
        """Return the state of every job that the ledger still contains."""
        return tuple(map(describe_job, self._node.log.ledgers.jobs.jobs_by_id.values()))

    def _data_centre_status(self, declared: DataCentre, now: Seconds) -> DataCentreStatus:
        node = self._node
        jobs = node.log.ledgers.jobs
        report = node.holder_reports_by_data_centre.get(declared.id)
        is_recent = report is not None and now - report.received_at <= CONTACT_TIMEOUT
        version = node.configuration.switched_by_data_centre[declared.id].service
        applied_since = node.rollout.applied_since(node.identity.name, version)
        recorded_at = now if applied_since is None else applied_since
        configuration = node.configuration
        status = node.rollout_waiters.out_of_service_status(
            declared.id, version, recorded_at, configuration, now
        )
        in_force = isinstance(status, InForceEverywhere | InForceInside)
        return DataCentreStatus(
            id=declared.id,
            service=declared.service,
            drain=declared.drain,
            isolation=declared.isolation,
            in_force=in_force,
            holder=report.holder if report is not None and is_recent else None,
            epoch=NO_EPOCH if report is None else report.epoch,
            workers=0 if report is None else report.workers,
            accelerators=0 if report is None else report.load.accelerators,
            accelerators_used=0 if report is None else report.load.accelerators - report.load.free,
            jobs_queued=len(jobs.queued_by_data_centre.get(declared.id, ())),
            jobs_running=len(jobs.started_by_data_centre.get(declared.id, ())),
            unreachable_for=self._unreachable_for(declared.id, now),
            note=self._service_note(declared, status),
        )

    def _service_note(self, declared: DataCentre, status: OutOfServiceStatus | None) -> str:
        if status is None or declared.service is Service.IN:
            return ""
        return describe_out_of_service_status(declared.id, status)

    def _unreachable_for(self, data_centre: DataCentreId, now: Seconds) -> float:
        """
        Return the seconds since this instance last received a message from any instance of a data
        centre; 0 if that was within ``CONTACT_TIMEOUT``.
        """
        members = self._node.identity.members_of(data_centre)
        silences = (now - self._node.rollout.last_heard(name, now) for name in members)
        shortest_silence = min(silences, default=0.0)
        return shortest_silence if shortest_silence > CONTACT_TIMEOUT else 0.0
