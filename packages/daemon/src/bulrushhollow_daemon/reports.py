"""
bulrushhollow_daemon.reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the API shows of a node, put together when it is asked for.
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
from bulrushhollow_core.node import Node, describe, describe_job, job_answer
from bulrushhollow_core.outcomes import Refusal

VOTING = frozenset({Role.LEADER, Role.CANDIDATE, Role.FOLLOWER})

NO_EPOCH = Epoch(0)

WORD_LIMIT = Seconds(3.0)
"""Seconds after which the last word of a lease holder no longer tells who holds the lease."""


class Reports:
    """
    Views of one node.

    :param node: the node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def instance(self, now: Seconds) -> InstanceStatus:
        """Return the state of this instance."""
        node = self._node
        status = node.status(now)
        jobs = node.log.ledgers.jobs
        here = node.identity.data_centre
        reachable = tuple(sorted(name_of(peer) for peer in node.connected))
        return InstanceStatus(
            name=node.identity.name,
            instance=node.identity.me,
            data_centre=here,
            ready=node.is_ready,
            leader=status.log.leader,
            term=status.log.term,
            committed=status.log.commit_index,
            last_index=status.log.last_index,
            applied=status.applied,
            configuration_version=node.configuration.version,
            voter=status.log.role in VOTING,
            holds_lease=status.authority.state is AuthorityState.HOLDING,
            epoch=status.authority.epoch,
            requests_queued=status.router.queued,
            requests_in_flight=status.router.in_flight,
            jobs_queued=sum(map(len, jobs.queued_by_data_centre.values())),
            jobs_running=sum(map(len, jobs.started_by_data_centre.values())),
            peers_reachable=reachable,
            peers_unreachable=tuple(
                sorted({peer.name for peer in node.identity.peers} - set(reachable))
            ),
            shutting_down=node.is_stopping,
        )

    def data_centres(self, now: Seconds) -> tuple[DataCentreStatus, ...]:
        """Return the state of every declared data centre."""
        declared = self._node.configuration.data_centres_by_id
        return tuple(self._data_centre(declared[name], now) for name in sorted(declared))

    def endpoints(self, now: Seconds) -> tuple[EndpointStatus, ...]:
        """Return the state of every endpoint that is known here."""
        return self._node.entry.endpoints(now)

    def job(self, job: JobId) -> JobAnswer | Refusal:
        """Return the state of one job."""
        return job_answer(job, self._node.log.ledgers.jobs)

    def jobs(self) -> tuple[JobAnswer, ...]:
        """Return the state of every job that is remembered."""
        return tuple(map(describe_job, self._node.log.ledgers.jobs.jobs_by_id.values()))

    def _data_centre(self, declared: DataCentre, now: Seconds) -> DataCentreStatus:
        node = self._node
        jobs = node.log.ledgers.jobs
        word = node.words_by_data_centre.get(declared.id)
        known = word is not None and now - word.heard_at <= WORD_LIMIT
        version = node.configuration.switched_by_data_centre[declared.id].service
        since = node.rollout.applied_since(node.identity.name, version)
        recorded_at = now if since is None else since
        configuration = node.configuration
        outlook = node.rollouts.outlook(declared.id, version, recorded_at, configuration, now)
        in_force = isinstance(outlook, InForceEverywhere | InForceInside)
        return DataCentreStatus(
            id=declared.id,
            service=declared.service,
            drain=declared.drain,
            isolation=declared.isolation,
            in_force=in_force,
            holder=word.holder if word is not None and known else None,
            epoch=NO_EPOCH if word is None else word.epoch,
            workers=0 if word is None else word.workers,
            accelerators=0 if word is None else word.load.accelerators,
            accelerators_used=0 if word is None else word.load.accelerators - word.load.free,
            jobs_queued=len(jobs.queued_by_data_centre.get(declared.id, ())),
            jobs_running=len(jobs.started_by_data_centre.get(declared.id, ())),
            unreachable_for=self._silence(declared.id, now),
            note=self._note(declared, outlook),
        )

    def _note(self, declared: DataCentre, outlook: OutOfServiceStatus | None) -> str:
        if outlook is None or declared.service is Service.IN:
            return ""
        return describe(declared.id, outlook)

    def _silence(self, data_centre: DataCentreId, now: Seconds) -> float:
        """Return seconds since any instance of a data centre was heard, 0 if lately."""
        members = self._node.identity.members_of(data_centre)
        silences = (now - self._node.rollout.last_heard(name, now) for name in members)
        silence = min(silences, default=0.0)
        return silence if silence > WORD_LIMIT else 0.0
