"""One odd number or text in a configuration, or in a job, that a leader may accept and record."""

import copy
import json
import unittest
from collections.abc import Iterator
from typing import Any

from bulrushhollow_core.domain import PutConfig, Submit
from bulrushhollow_core.domain._call_handler import CallHandler, DeferredAnswer
from bulrushhollow_core.domain.model import DomainSettings, encode_commands
from bulrushhollow_platform._translation import Unreadable, decode_configuration, decode_work
from bulrushhollow_platform.standin import config_body
from standins.domain_site import HOST, KEY, configuration
from tests.test_domain_scheduler import SINGLE_TASK, WALL, SchedulerHarness
from tests.test_odd_entries import DEEP, ODD_ADDRESSES, ODD_NUMBERS, lead, run_leader

MARK = "@odd@"
LIMIT_NUMBERS = (str(2**63 - 1), str(-(2**63)), "-1", "0", "1e308", "-1e308", "5e-324", "1e15")
ODD_TEXTS = (*(json.dumps(text) for text in ODD_ADDRESSES), '"\\ud800"', '""', "null", "{}", DEEP)

CONFIGURATION: dict[str, Any] = {
    **json.loads(config_body(configuration(2))),
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}
CONFIGURATION["tenants"][0] |= {"weight": 1.0, "cap": {"cpu": 0, "mem-mb": 0, "gpu": 0}}
CONFIGURATION["routes"][1]["advice"] = {"decision-ms": 1, "period-ms": 1, "valid-ms": 1}
JOB = {
    "spec": "spec",
    "steps": [
        {
            "count": 2,
            "cpu": 1000,
            "mem-mb": 100,
            "gpu": 1,
            "estimate-ms": 900,
            "deps": [],
            "required-label": "",
            "data-rack": "",
            "max-per-server": 0,
            "max-unavailable": 0,
            "gang": False,
            "speculative": False,
            "checkpointable": False,
            "long-running": False,
        },
        {"count": 1, "cpu": 1, "deps": [0]},
    ],
    "run-count": 0,
    "start-at-ms": 0,
    "interval-ms": 0,
}


def variants(document: Any, node: Any = None) -> Iterator[tuple[str, str]]:
    """Yield JSON texts in which one value is replaced by each odd one, with what was replaced."""
    document = copy.deepcopy(document) if node is None else document
    node = document if node is None else node
    for key, value in list(node.items() if isinstance(node, dict) else enumerate(node)):
        if isinstance(value, dict | list) and value:
            yield from variants(document, value)
        node[key] = MARK
        text = json.dumps(document)
        node[key] = value
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        odd = (*ODD_NUMBERS, *LIMIT_NUMBERS) if is_number else ODD_TEXTS
        for number in odd:
            yield f"{key}: {number[:24]}", text.replace(f'"{MARK}"', number)


class OddDocumentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = lead((), from_snapshot=False)
        self.handler = CallHandler(DomainSettings(), "here")

    def accept(self, harness: SchedulerHarness, call: PutConfig | Submit) -> bool:
        """Handle a call and commit its command; return whether there is one."""
        result = self.handler.handle(call, harness.state, harness.scheduler, harness.now, WALL)
        if not isinstance(result, DeferredAnswer):
            return False
        encode_commands([result.command])
        harness.commit([result.command])
        return True

    # Guards against a configuration in force with which no leader can plan.
    def test_a_leader_plans_with_each_configuration_that_is_accepted(self) -> None:
        for name, text in variants(CONFIGURATION):
            with self.subTest(name):
                self.setUp()
                decoded = decode_configuration(text.encode())
                if isinstance(decoded, Unreadable):
                    continue
                self.accept(self.harness, PutConfig(decoded))
                call = Submit(HOST, "/urgent/" + "a" * 16, KEY, SINGLE_TASK)
                self.accept(self.harness, call)
                self.assertLessEqual({life.id for life in run_leader(self.harness, 20)}, {"w"})

    # Guards against an accepted job that ends each leader, or that holds up the other jobs.
    def test_a_leader_runs_the_other_jobs_beside_each_job_that_is_accepted(self) -> None:
        for name, text in variants(JOB):
            with self.subTest(name):
                self.setUp()
                work = decode_work(text.encode())
                if isinstance(work, Unreadable):
                    continue
                path = "/urgent/" + "a" * 16
                self.accept(self.harness, Submit(HOST, path, KEY, work))
                other = Submit(HOST, "/urgent/" + "b" * 16, KEY, SINGLE_TASK)
                self.assertTrue(self.accept(self.harness, other))
                run_leader(self.harness, 20)
                job = self.harness.state.jobs_by_id[other.path.rpartition("/")[2]]  # type: ignore[index]
                self.assertTrue(job.has_started)


if __name__ == "__main__":
    unittest.main()
