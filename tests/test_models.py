import unittest

import msgspec

from bulrushhollow_core.models import Profile, Shape, WorkKind


class ProfileTest(unittest.TestCase):
    def test_round_trip_through_json_keeps_every_field(self) -> None:
        profile = Profile(name="label", kind=WorkKind.REQUEST, workspace="bajio", service="orders")
        self.assertEqual(profile, msgspec.json.decode(msgspec.json.encode(profile), type=Profile))

    def test_unknown_fields_are_refused(self) -> None:
        with self.assertRaises(msgspec.ValidationError):
            msgspec.json.decode(b'{"taskz": 3}', type=Shape)


if __name__ == "__main__":
    unittest.main()
