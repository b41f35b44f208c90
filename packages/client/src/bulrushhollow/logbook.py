"""
bulrushhollow.logbook
~~~~~~~~~~~~~~~~~~~~~

Reads the structured logs of several processes and explains why a request or job ended as it did.

Usage::

    >>> book = Logbook(open("core.log"))
    >>> print(book.explain("5c0e7a21d94b36f8"))
"""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, NewType

LineTime = NewType("LineTime", str)
"""Timestamp of a log line as text, by which lines are sorted."""

COMMON_FIELDS = ("time", "level", "logger", "event", "instance", "role", "data_centre")
"""Fields of every log line; all other fields are the inputs of the logged decision."""

LEADER_EVENTS = ("leadership_taken", "leadership_lost", "leader_lost", "leader_found")
"""Changes of leader, which explain why a call was not served."""

LEADER_LINES_BEFORE = 6
"""Most lines about earlier changes of leader that are shown for a call that was not served."""


class LogLine:
    """
    One structured log line.

    :param fields: the decoded JSON object.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields
        self.time = LineTime(str(fields.get("time", "")))
        self.event = str(fields.get("event", ""))
        self.instance = str(fields.get("instance", ""))

    def mentions(self, work_id: str) -> bool:
        """Return whether a field holds the id of this request or job, or of one of its tasks."""
        return any(
            value == work_id or (isinstance(value, str) and value.startswith(f"{work_id}."))
            for key, value in self.fields.items()
            if key not in COMMON_FIELDS
        )

    def text(self) -> str:
        """Return the line formatted for reading."""
        inputs = " ".join(
            f"{key}={value}" for key, value in self.fields.items() if key not in COMMON_FIELDS
        )
        return f"{self.time}  {self.instance:<22} {self.event:<22} {inputs}"


class Logbook:
    """
    The log lines of several processes, sorted by time.

    :param lines: lines of any number of files. Text before the first brace of a line is ignored;
        lines that are not log records are counted.
    """

    def __init__(self, lines: Iterable[str]) -> None:
        self.unreadable_count = 0
        self.folded_by_event: Counter[str] = Counter()
        self.dropped_count = 0
        parsed_lines = [self._parse_line(line) for line in lines if line.strip()]
        self.lines = sorted((line for line in parsed_lines if line), key=lambda line: line.time)

    def _parse_line(self, text: str) -> LogLine | None:
        start = text.find("{")
        try:
            fields = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            fields = None
        if not isinstance(fields, dict) or "event" not in fields:
            self.unreadable_count += 1
            return None
        if fields["event"] == "lines_folded":
            self.folded_by_event.update(fields.get("folded") or {})
            self.dropped_count += int(fields.get("dropped") or 0)
        return LogLine(fields)

    def explain(self, work_id: str) -> str:
        """Return the lines about a request or job, the cause of its end, and missing lines."""
        related_lines = [line for line in self.lines if line.mentions(work_id)]
        if not related_lines:
            return "\n".join([f"nothing is known of {work_id}", *self._describe_missing_lines()])
        cause = self._describe_cause(related_lines)
        return "\n".join(
            [*(line.text() for line in related_lines), "", cause, *self._describe_missing_lines()]
        )

    def summary(self) -> str:
        """Return counts of refusals, ended runs and lost workers, by cause."""
        rows = [
            *self._count_by_value("calls not served", "call_answered", ("answer",), skip=("Done",)),
            *self._count_by_value("submissions refused", "submission_refused", ("reason",)),
            *self._count_by_value(
                "starts not accepted", "start_answered", ("result",), skip=("accepted",)
            ),
            *self._count_by_value("runs lost", "run_lost", ("cause",)),
            *self._count_by_value("runs ended", "run_ended", ("outcome",), skip=("done",)),
            *self._count_by_value("runs stopped", "run_stopped", ("reason",)),
            *self._count_by_value("workers lost", "worker_lost", ("reason",)),
            *self._count_by_value("workers quarantined", "worker_quarantined", ("reason",)),
            *self._count_by_value("leadership", "leadership_taken", ("instance",)),
        ]
        return "\n".join([*rows, *self._describe_missing_lines()])

    def _count_by_value(
        self, title: str, event: str, keys: tuple[str, ...], skip: tuple[str, ...] = ()
    ) -> list[str]:
        counts: Counter[str] = Counter()
        for line in self.lines:
            if line.event == event:
                # The reason of a preemption names the preempting job; all count as one category.
                value = " ".join(str(line.fields.get(key, "")) for key in keys)
                category = "preempted" if value.startswith("preempted") else value
                counts[category] += category not in skip
        return [
            f"{title}: {category}: {count}" for category, count in counts.most_common() if count
        ]

    def _describe_cause(self, related_lines: list[LogLine]) -> str:
        """Return a paragraph with the cause of the outcome."""
        end_line = next(
            (line for line in reversed(related_lines) if line.event == "job_ended"), None
        )
        if end_line is not None and end_line.fields.get("state") == "failed":
            return self._describe_failed_job(related_lines, end_line)
        if end_line is not None:
            return f"cause: the job ended as {end_line.fields.get('state')}"
        call_lines = [line for line in related_lines if line.event == "call_answered"]
        last = call_lines[-1] if call_lines else None
        if last is not None and last.fields.get("answer") in ("Refused", "OutcomeUnknown"):
            return self._describe_unserved_call(call_lines)
        refusal_line = next(
            (line for line in related_lines if line.event == "submission_refused"), None
        )
        if refusal_line is not None:
            return f"cause: the submission was refused: {refusal_line.fields.get('reason')}"
        return "cause: no end is in these logs"

    def _describe_failed_job(self, related_lines: list[LogLine], end_line: LogLine) -> str:
        given_up = next((line for line in related_lines if line.event == "job_given_up"), None)
        if given_up is not None:
            return (
                f"cause: {given_up.fields.get('crashes')} workers crashed under the task"
                f" {given_up.fields.get('task')}: {given_up.fields.get('workers')}"
            )
        failures_by_worker = Counter(
            str(line.fields.get("worker") or "an unknown worker")
            for line in related_lines
            if line.event == "run_ended" and line.fields.get("outcome") == "failed"
        )
        failures_text = ", ".join(
            f"{worker}: {count}" for worker, count in failures_by_worker.most_common()
        )
        quarantined_workers = {
            str(line.fields.get("worker"))
            for line in self.lines
            if line.event == "worker_quarantined"
        }
        blamed_workers = sorted(quarantined_workers & failures_by_worker.keys())
        conclusion = (
            f"{', '.join(blamed_workers)} failed other jobs too, so the workers broke"
            if blamed_workers
            else "no worker of them failed other jobs, so the job itself fails"
        )
        attempts = end_line.fields.get("attempts")
        return f"cause: a task failed {attempts} times (by worker: {failures_text}); {conclusion}"

    def _describe_unserved_call(self, call_lines: list[LogLine]) -> str:
        last = call_lines[-1]
        leader_lines = [line for line in self.lines if line.event in LEADER_EVENTS]
        before = [line for line in leader_lines if line.time <= last.time][-LEADER_LINES_BEFORE:]
        after = [line for line in leader_lines if line.time > last.time][:1]
        is_unknown = any(line.fields.get("answer") == "OutcomeUnknown" for line in call_lines)
        answer_text = (
            "answered as unknown: it was on its way when the leader was lost"
            if is_unknown
            else "refused each time, so it has not run"
        )
        context = [line.text() for line in [*before, *after]]
        return "\n".join([f"cause: the call was {answer_text}; about the leader:", *context])

    def _describe_missing_lines(self) -> list[str]:
        """Return a notice for each kind of lines that are missing from these logs."""
        notices = []
        if self.folded_by_event or self.dropped_count:
            folded_counts = ", ".join(
                f"{event}: {count}" for event, count in self.folded_by_event.most_common()
            )
            notices.append(
                f"missing: lines folded ({folded_counts}); lines dropped: {self.dropped_count}"
            )
        if self.unreadable_count:
            notices.append(f"missing: {self.unreadable_count} lines could not be read")
        return notices
