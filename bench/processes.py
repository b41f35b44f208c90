"""
bench.processes
~~~~~~~~~~~~~~~

Reads the memory and the processor time of a process from ``/proc``.
"""

import os
from pathlib import Path

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
"""Clock ticks per second, the unit of processor time in ``/proc``."""

KIBIBYTE = 1024


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds, in user and system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, including pages backed by files."""
    return _status(pid, "VmRSS")


def private_bytes(pid: int) -> int:
    """Return the anonymous resident memory of a process, which no file backs."""
    return _status(pid, "RssAnon")


def _status(pid: int, field: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    value = next(line.split()[1] for line in lines if line.startswith(f"{field}:"))
    return int(value) * KIBIBYTE
