"""The platform's messages and settings are decoded; malformed messages are ``Unreadable``."""

import json
import unittest

from bulrushhollow_core.domain import (
    Availability,
    Configuration,
    Outcome,
    Resources,
    TaskRef,
    Work,
    WorkerNews,
    find_invalidity,
)
from bulrushhollow_platform._settings import SettingsFileError, decode_settings
from bulrushhollow_platform._translation import (
    Unreadable,
    decode_configuration,
    decode_deregistration,
    decode_ended_row,
    decode_heartbeat,
    decode_running_row,
    decode_task,
    decode_work,
    encode_task,
)
from bulrushhollow_platform.standin import config_body, job_body
from standins.domain_site import configuration

SETTINGS = """
node=core-a-1
role=core
ip=10.1.0.21
zone=a
port-range=7000,7015
listen.control=10.1.0.21:8526
seeds=10.1.0.21:8526,10.2.0.38:8526
bootstrap=true
data-dir=/data/core
limits.max-fds=4096
tolerate.machines=2
bounds.max-hold-ms=6000
bounds.unheard-of=7
"""

HEARTBEAT = {
    "service": "svc",
    "addr": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 4},
    "labels": ["a", "r1-3"],
    "time-ms": 482113,
    "seq": 4,
    "born": 17,
}


class SettingsTest(unittest.TestCase):
    def test_file_is_decoded_and_unknown_settings_are_ignored(self) -> None:
        settings = decode_settings(SETTINGS)
        self.assertEqual(("10.1.0.21", "10.2.0.38"), settings.seeds)
        self.assertEqual(5, settings.domain.voter_count)
        self.assertEqual(6.0, settings.domain.longest_lease)
        self.assertEqual(7000, settings.peer_port)
        self.assertTrue(settings.is_founder)

    def test_only_the_instance_with_the_lowest_seed_is_founder(self) -> None:
        another_instance = SETTINGS.replace("ip=10.1.0.21", "ip=10.2.0.38")
        self.assertFalse(decode_settings(another_instance).is_founder)
        later_start = SETTINGS.replace("bootstrap=true", "bootstrap=false")
        self.assertFalse(decode_settings(later_start).is_founder)

    def test_delays_have_a_price_only_if_the_environment_says_so(self) -> None:
        self.assertFalse(decode_settings(SETTINGS).domain.prices_delays)
        self.assertTrue(decode_settings(SETTINGS, prices_delays=True).domain.prices_delays)

    def test_missing_setting_is_an_error(self) -> None:
        with self.assertRaises(SettingsFileError):
            decode_settings(SETTINGS.replace("ip=10.1.0.21\n", ""))


class JobTest(unittest.TestCase):
    def test_job_is_decoded_with_its_defaults(self) -> None:
        body = {
            "spec": "text",
            "steps": [
                {"count": 4, "cpu": 500, "mem-mb": 256, "estimate-ms": 900, "data-rack": "r1"},
                {"count": 2, "gpu": 8, "deps": [0], "gang": True, "same-rack": True},
            ],
            "run-count": 3,
            "start-at-ms": 5000,
            "interval-ms": 250,
        }
        work = decode_work(json.dumps(body).encode())
        assert isinstance(work, Work)
        self.assertEqual((3, 5.0, 0.25), (work.occurrences, work.first_due_at, work.interval))
        self.assertEqual((0,), work.steps[1].depends_on)
        self.assertTrue(work.steps[1].is_gang)
        self.assertEqual(0.9, work.steps[0].estimate)
        self.assertEqual(work, decode_work(job_body(work)))

    def test_malformed_jobs_are_unreadable(self) -> None:
        for body in (b"", b"{", b"[]", b'{"spec": 7, "steps": []}', b'{"spec": "x"}', b"\xff"):
            with self.subTest(body=body):
                self.assertIsInstance(decode_work(body), Unreadable)


class ConfigurationTest(unittest.TestCase):
    def test_configuration_is_decoded_and_its_body_kept(self) -> None:
        body = config_body(configuration(7))
        decoded = decode_configuration(body)
        assert isinstance(decoded, Configuration)
        self.assertEqual(body, decoded.document)
        self.assertEqual(configuration(7).queues, decoded.queues)
        self.assertIsNone(find_invalidity(decoded))

    def test_caps_and_weights_of_workspaces_are_decoded(self) -> None:
        """Guards against a cap that is dropped on the way in, so that nothing enforces it."""
        document = json.loads(config_body(configuration(7)))
        document["tenants"] = [
            {"name": "a", "api-keys": ["k1"], "weight": 2, "cap": {"cpu": 9000, "mem-mb": 70}},
            {"name": "b", "api-keys": ["k2"], "guaranteed": {"gpu": 8}},
        ]
        decoded = decode_configuration(json.dumps(document).encode())
        assert isinstance(decoded, Configuration)
        limited, unlimited = decoded.workspaces
        self.assertEqual((Resources(9000, 70, 0), 2.0), (limited.cap, limited.weight))
        self.assertEqual((Resources(0, 0, 0), 0.0), (unlimited.cap, unlimited.weight))
        self.assertEqual(8, unlimited.guaranteed_accelerators)

    def test_truncated_configuration_is_unreadable(self) -> None:
        body = config_body(configuration(7))
        self.assertIsInstance(decode_configuration(body[: len(body) // 2]), Unreadable)


class WorkerTest(unittest.TestCase):
    def test_heartbeat_is_decoded(self) -> None:
        heartbeat = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
        assert isinstance(heartbeat, WorkerNews)
        self.assertEqual(("i-1", 17), (heartbeat.life.id, heartbeat.life.born))
        self.assertEqual(("r1-3", 482.113), (heartbeat.rack, heartbeat.clock))
        self.assertIs(Availability.READY, heartbeat.availability)

    def test_malformed_heartbeats_are_unreadable(self) -> None:
        invalid_heartbeats = [
            {**HEARTBEAT, "state": "resting"},
            {**HEARTBEAT, "seq": "four"},
            {name: value for name, value in HEARTBEAT.items() if name != "addr"},
        ]
        for fields in invalid_heartbeats:
            with self.subTest(fields=fields):
                self.assertIsInstance(
                    decode_heartbeat("i-1", json.dumps(fields).encode()), Unreadable
                )

    def test_deregistration_may_have_no_body(self) -> None:
        self.assertIsNone(decode_deregistration(b""))
        self.assertEqual(17, decode_deregistration(b'{"born": 17}'))

    def test_valid_rows_are_decoded_and_invalid_rows_ignored(self) -> None:
        ended = decode_ended_row((58, "5c0e.0.1.9", 1, "done", ""))
        assert ended is not None
        self.assertIs(Outcome.DONE, ended.outcome)
        running = decode_running_row(("5c0e.0.1.17", 2, "00b", 41, 900))
        assert running is not None
        self.assertEqual(41, running.percent)
        self.assertIsNone(decode_ended_row((58, "5c0e.0.1.9", 1, "vanished", "")))
        self.assertIsNone(decode_running_row(("not a task", 2, "", 41)))

    def test_task_name_survives_decoding_and_encoding(self) -> None:
        task = decode_task("5c0e.2.1.17")
        assert isinstance(task, TaskRef)
        self.assertEqual("5c0e.2.1.17", encode_task(task))


if __name__ == "__main__":
    unittest.main()
