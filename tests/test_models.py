import json
import unittest

import msgspec

from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.models import Profile, Rack, Resources, Shape, WorkKind, Workspace


class ProfileTest(unittest.TestCase):
    def test_round_trip_through_json_keeps_every_field(self) -> None:
        profile = Profile(name="label", kind=WorkKind.REQUEST, workspace="bajio", service="orders")
        self.assertEqual(profile, msgspec.json.decode(msgspec.json.encode(profile), type=Profile))

    def test_unknown_fields_are_refused(self) -> None:
        with self.assertRaises(msgspec.ValidationError):
            msgspec.json.decode(b'{"taskz": 3}', type=Shape)


class RangeTest(unittest.TestCase):
    def test_integer_outside_64_bits_is_refused_when_decoded(self) -> None:
        """Without this check, the number fails to encode for the log, which ends the daemon."""
        too_large = 10**30
        announcement = {
            "type": "announcement",
            "endpoint": "e",
            "data_centre": "d",
            "incarnation": 1,
            "sequence": 1,
            "address": "127.0.0.1:1",
            "service": "s",
            "slots": 1,
            "connections": 1,
        }
        for name in ("incarnation", "sequence", "slots", "connections"):
            self.assert_refused({**announcement, name: too_large}, Announcement)
        edit = {"type": "remove_profile", "name": "p"}
        change = {"type": "change_configuration", "change_id": "c", "edit": edit}
        self.assert_refused({**change, "base_version": too_large}, ChangeConfiguration)
        self.assert_refused({"id": "w", "weight": too_large}, Workspace)
        self.assert_refused({"id": "w", "accelerator_quota": -too_large}, Workspace)
        self.assert_refused({"id": "r", "workers": too_large, "per_worker": {}}, Rack)
        self.assert_refused({"tasks": too_large}, Shape)
        for name in ("accelerators", "cores", "memory_mb"):
            self.assert_refused({name: too_large}, Resources)

    def assert_refused(self, value: object, kind: type) -> None:
        encoded = json.dumps(value)
        with self.subTest(encoded), self.assertRaisesRegex(msgspec.ValidationError, "int"):
            msgspec.json.decode(encoded, type=kind)


if __name__ == "__main__":
    unittest.main()
