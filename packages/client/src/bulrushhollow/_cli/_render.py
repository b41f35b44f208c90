"""
bulrushhollow._cli._render
~~~~~~~~~~~~~~~~~~~~~~~~~~

Formats answers as text for a person.
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


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows aligned in columns below a header."""
    lines = [list(header), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def fields(value: msgspec.Struct) -> str:
    """Return a struct as one line per field."""
    lines = [(name, msgspec.to_builtins(getattr(value, name))) for name in value.__struct_fields__]
    width = max(len(name) for name, _ in lines)
    return "\n".join(
        f"{name.ljust(width)}{COLUMN_GAP}{_format_value(item)}" for name, item in lines
    )


def change(accepted: ChangeAccepted) -> str:
    """Return the version of an accepted change, and where it is in force."""
    lines = [f"accepted as version {accepted.version}"]
    if accepted.in_force_in:
        lines.append(f"in force on {', '.join(accepted.in_force_in)}")
    if accepted.not_yet_in:
        lines.append(f"not yet confirmed by {', '.join(accepted.not_yet_in)}")
    if accepted.note:
        lines.append(accepted.note)
    return "\n".join(lines)


def job(answer: JobAnswer) -> str:
    """Return the state of a job in one line."""
    parts = [answer.job, answer.end.value if answer.end else answer.state.value]
    if answer.data_centre:
        parts.append(f"in {answer.data_centre}")
    if answer.attempt:
        parts.append(f"attempt {answer.attempt}")
    parts.append(f"({answer.execution.value.replace('_', ' ')})")
    if answer.reason:
        parts.append(f"{answer.reason.value}:")
    return " ".join([*parts, answer.detail]).rstrip(" :")


def jobs(answers: Sequence[JobAnswer]) -> str:
    """Return a table of jobs."""
    header = ("JOB", "STATE", "PROFILE", "DATA CENTRE", "ATTEMPT", "END", "REASON")
    rows = [
        (
            answer.job,
            answer.state.value,
            answer.profile,
            answer.data_centre or "-",
            answer.attempt,
            answer.end.value if answer.end else "-",
            answer.reason.value if answer.reason else "-",
        )
        for answer in answers
    ]
    return table(header, rows)


def profiles(items: Sequence[Profile]) -> str:
    """Return a table of profiles."""
    header = ("PROFILE", "KIND", "WORKSPACE", "URGENCY", "IDEMPOTENT", "SERVICE OR SHAPE")
    rows = [
        (
            profile.name,
            profile.kind.value,
            profile.workspace,
            profile.urgency.value,
            _yes_or_no(profile.idempotent),
            profile.service or shape(profile.shape),
        )
        for profile in items
    ]
    return table(header, rows)


def workspaces(items: Sequence[Workspace]) -> str:
    """Return a table of workspaces."""
    header = ("WORKSPACE", "WEIGHT", "QUOTA", "GUARANTEES")
    rows = [
        (
            workspace.id,
            workspace.weight,
            "-" if workspace.accelerator_quota is None else workspace.accelerator_quota,
            "; ".join(
                f"{item.name}: {item.count} of {shape(item.shape)} in {item.data_centre}"
                for item in workspace.guarantees
            )
            or "-",
        )
        for workspace in items
    ]
    return table(header, rows)


def data_centres(items: Sequence[DataCentreStatus]) -> str:
    """Return a table of data centres."""
    header = ("DATA CENTRE", "SERVICE", "IN FORCE", "HOLDER", "ACCELERATORS", "QUEUED", "RUNNING")
    rows = [
        (
            status.id,
            status.service.value,
            _yes_or_no(status.in_force),
            status.holder or "-",
            f"{status.accelerators_used}/{status.accelerators}",
            status.jobs_queued,
            status.jobs_running,
        )
        for status in items
    ]
    return table(header, rows)


def endpoints(items: Sequence[EndpointStatus]) -> str:
    """Return a table of endpoints."""
    header = ("ENDPOINT", "DATA CENTRE", "OFFERS", "SERVICE", "ADDRESS", "SLOTS", "STATE")
    rows = [
        (
            endpoint.id,
            endpoint.data_centre or "-",
            endpoint.service_name or "-",
            endpoint.service.value,
            endpoint.address or "-",
            f"{endpoint.slots_used}/{endpoint.slots}",
            _endpoint_state(endpoint),
        )
        for endpoint in items
    ]
    return table(header, rows)


def instance(status: InstanceStatus) -> str:
    """Return the state of the answering instance."""
    return fields(status)


def shape(gang_shape: Shape) -> str:
    """Return the shape of a gang in a few words."""
    return (
        f"{gang_shape.tasks} x {resources(gang_shape.per_task)}, same {gang_shape.adjacency.value}"
    )


def resources(amounts: Resources) -> str:
    """Return resources in a few words."""
    return f"{amounts.accelerators} accelerators/{amounts.cores} cores/{amounts.memory_mb} MiB"


def _endpoint_state(endpoint: EndpointStatus) -> str:
    if endpoint.heard_ago is None:
        return "never heard"
    if endpoint.leaving:
        return "leaving"
    return "ejected" if endpoint.ejected else "ready"


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _format_value(item: object) -> str:
    if item is None or item == "" or item == [] or item == ():
        return "-"
    if isinstance(item, bool):
        return _yes_or_no(item)
    if isinstance(item, list | tuple):
        return ", ".join(_format_value(part) for part in item)
    if isinstance(item, dict):
        return ", ".join(f"{name} {_format_value(part)}" for name, part in item.items())
    return str(item)
