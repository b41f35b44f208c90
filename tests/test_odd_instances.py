"""One odd address or message among those by which the instances of a domain know each other."""

import unittest

from bulrushhollow_platform._settings import decode_settings
from tests.test_platform_translation import SETTINGS

ODD_SEEDS = (
    *("rack7-node3:80", "10.0.0.9", ":80", "10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:0", " "),
    *("10.0.0.9:" + "9" * 5000, "[" * 1000, "!:80", "10.0.0.9:1e400", "0:0"),
)


class SeedTest(unittest.TestCase):
    # Guards against an odd seed, since only the instance with the lowest seed founds the log.
    def test_an_odd_seed_leaves_the_others_and_the_founder(self) -> None:
        first, second = "10.1.0.21:8526", "10.2.0.38:8526"
        usual = decode_settings(SETTINGS)
        for seed in ODD_SEEDS:
            for seeds in ((seed, first, second), (first, seed, second), (second, first, seed)):
                with self.subTest(seed=seed[:20], place=seeds.index(seed)):
                    lines = f"seeds={','.join(seeds)}\nbootstrap=true\nip=10.1.0.21\n"
                    settings = decode_settings(SETTINGS + "\n" + lines)
                    self.assertEqual(set(usual.seeds), set(settings.seeds))
                    self.assertTrue(settings.is_founder)


if __name__ == "__main__":
    unittest.main()
