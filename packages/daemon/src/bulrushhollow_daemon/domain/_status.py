"""
bulrushhollow_daemon.domain._status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The status of a domain's processes, as operators read it.
"""

import msgspec


class InstanceStatus(msgspec.Struct, frozen=True):
    """
    Status of any process of a domain.

    :param leader: address of the leader that this process knows; empty if it knows none.
    :param serves: whether this process can have calls answered at present.
    """

    instance: str
    role: str
    data_centre: str
    leader: str
    serves: bool


class CoreStatus(InstanceStatus, frozen=True):
    """
    Status of an instance with a disk.

    :param incarnation: id of the present incarnation of the instance.
    :param part: role of the instance in the log.
    :param caught_up_age: seconds since the instance certainly had every committed entry; negative
        if it never had.
    :param workers: number of workers that the leader knows; 0 on any other instance.
    :param runs: number of runs that take resources, on the leader; 0 on any other instance.
    """

    incarnation: str
    part: str
    term: int
    commit_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    caught_up_age: float
    configuration_version: int
    evacuated: tuple[str, ...]
    open_jobs: int
    workers: int
    runs: int
