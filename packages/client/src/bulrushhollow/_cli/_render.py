"""
bulrushhollow._cli._render
~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers as text for a person.
"""

from collections.abc import Sequence

import msgspec

from bulrushhollow.models import (
    ChangeAccepted,
    DataCentreStatus,
    EndpointStatus,
    InstanceStatus,
    JobAnswer,
    Profile,
    Resources,
    Shape,
    Workspace,
)

COLUMN_GAP = "  "


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Align rows under their heads."""
    lines = [list(head), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def fields(value: msgspec.Struct) -> str:
    """Print a struct as one line per field."""
    lines = [(name, msgspec.to_builtins(getattr(value, name))) for name in value.__struct_fields__]
    width = max(len(name) for name, _ in lines)
    return "\n".join(f"{name.ljust(width)}{COLUMN_GAP}{_plain(item)}" for name, item in lines)


def change(accepted: ChangeAccepted) -> str:
    """Say which version a change became and where it is in force."""
    lines = [f"accepted as version {accepted.version}"]
    if accepted.in_force_in:
        lines.append(f"in force on {', '.join(accepted.in_force_in)}")
    if accepted.not_yet_in:
        lines.append(f"not yet confirmed by {', '.join(accepted.not_yet_in)}")
    if accepted.note:
        lines.append(accepted.note)
    return "\n".join(lines)


def job(answer: JobAnswer) -> str:
    """Say in one line how a job stands."""
    words = [answer.job, answer.end.value if answer.end else answer.state.value]
    if answer.data_centre:
        words.append(f"in {answer.data_centre}")
    if answer.attempt:
        words.append(f"attempt {answer.attempt}")
    words.append(f"({answer.execution.value.replace('_', ' ')})")
    if answer.reason:
        words.append(f"{answer.reason.value}:")
    return " ".join([*words, answer.detail]).rstrip(" :")


def jobs(answers: Sequence[JobAnswer]) -> str:
    """List jobs."""
    head = ("JOB", "STATE", "PROFILE", "DATA CENTRE", "ATTEMPT", "END", "REASON")
    rows = [
        (
            each.job,
            each.state.value,
            each.profile,
            each.data_centre or "-",
            each.attempt,
            each.end.value if each.end else "-",
            each.reason.value if each.reason else "-",
        )
        for each in answers
    ]
    return table(head, rows)


def profiles(found: Sequence[Profile]) -> str:
    """List profiles."""
    head = ("PROFILE", "KIND", "WORKSPACE", "URGENCY", "IDEMPOTENT", "SERVICE OR SHAPE")
    rows = [
        (
            each.name,
            each.kind.value,
            each.workspace,
            each.urgency.value,
            _yes(each.idempotent),
            each.service or shape(each.shape),
        )
        for each in found
    ]
    return table(head, rows)


def workspaces(found: Sequence[Workspace]) -> str:
    """List workspaces."""
    head = ("WORKSPACE", "WEIGHT", "QUOTA", "GUARANTEES")
    rows = [
        (
            each.id,
            each.weight,
            "-" if each.accelerator_quota is None else each.accelerator_quota,
            "; ".join(
                f"{item.name}: {item.count} of {shape(item.shape)} in {item.data_centre}"
                for item in each.guarantees
            )
            or "-",
        )
        for each in found
    ]
    return table(head, rows)


def data_centres(found: Sequence[DataCentreStatus]) -> str:
    """List data centres."""
    head = ("DATA CENTRE", "SERVICE", "IN FORCE", "HOLDER", "ACCELERATORS", "QUEUED", "RUNNING")
    rows = [
        (
            each.id,
            each.service.value,
            _yes(each.in_force),
            each.holder or "-",
            f"{each.accelerators_used}/{each.accelerators}",
            each.jobs_queued,
            each.jobs_running,
        )
        for each in found
    ]
    return table(head, rows)


def endpoints(found: Sequence[EndpointStatus]) -> str:
    """List endpoints."""
    head = ("ENDPOINT", "DATA CENTRE", "OFFERS", "SERVICE", "ADDRESS", "SLOTS", "STATE")
    rows = [
        (
            each.id,
            each.data_centre or "-",
            each.service_name or "-",
            each.service.value,
            each.address or "-",
            f"{each.slots_used}/{each.slots}",
            _endpoint_state(each),
        )
        for each in found
    ]
    return table(head, rows)


def instance(status: InstanceStatus) -> str:
    """Describe the answering instance."""
    return fields(status)


def shape(gang: Shape) -> str:
    """Describe a gang in a few words."""
    return f"{gang.tasks} x {resources(gang.per_task)}, same {gang.adjacency.value}"


def resources(need: Resources) -> str:
    """Describe resources in a few words."""
    return f"{need.accelerators} accelerators/{need.cores} cores/{need.memory_mb} MiB"


def _endpoint_state(endpoint: EndpointStatus) -> str:
    if endpoint.heard_ago is None:
        return "never heard"
    if endpoint.leaving:
        return "leaving"
    return "ejected" if endpoint.ejected else "ready"


def _yes(value: bool) -> str:
    return "yes" if value else "no"


def _plain(item: object) -> str:
    if item is None or item == "" or item == [] or item == ():
        return "-"
    if isinstance(item, bool):
        return _yes(item)
    if isinstance(item, list | tuple):
        return ", ".join(_plain(part) for part in item)
    if isinstance(item, dict):
        return ", ".join(f"{name} {_plain(part)}" for name, part in item.items())
    return str(item)
