import unittest

import msgspec

from bulrushhollow_core.domain import Workspace, find_invalidity
from bulrushhollow_core.domain._configuration import ConfigurationIndex, Invalidity
from bulrushhollow_core.ids import Seconds, WorkspaceId
from standins.domain_site import HOST, configuration, queue


class ValidityTest(unittest.TestCase):
    def test_a_proper_configuration_is_valid(self) -> None:
        self.assertIsNone(find_invalidity(configuration(1)))

    def test_an_unknown_service_is_refused(self) -> None:
        broken = msgspec.structs.replace(configuration(1), services=())
        self.assertIs(Invalidity.UNKNOWN_SERVICE, find_invalidity(broken))

    def test_two_queues_in_one_place_are_refused(self) -> None:
        one = queue("urgent", 0)
        other = msgspec.structs.replace(one, name="other")
        broken = msgspec.structs.replace(configuration(1), queues=(one, other))
        self.assertIs(Invalidity.DUPLICATE_ROUTE, find_invalidity(broken))

    def test_a_shared_key_is_refused(self) -> None:
        both = tuple(Workspace(WorkspaceId(name), ("k",), 0) for name in ("a", "b"))
        broken = msgspec.structs.replace(configuration(1), workspaces=both)
        self.assertIs(Invalidity.SHARED_KEY, find_invalidity(broken))

    def test_a_queue_without_time_is_refused(self) -> None:
        one = msgspec.structs.replace(queue("urgent", 0), timeout=Seconds(0.0))
        broken = msgspec.structs.replace(configuration(1), queues=(one,))
        self.assertIs(Invalidity.NO_TIMEOUT, find_invalidity(broken))


class DirectoryTest(unittest.TestCase):
    def test_the_longest_prefix_counts(self) -> None:
        wide = queue("urgent", 0)
        narrow = msgspec.structs.replace(wide, name="narrow", prefix="/urgent/more/")
        configuration_index = ConfigurationIndex(
            msgspec.structs.replace(configuration(1), queues=(wide, narrow))
        )
        found = configuration_index.find_queue(HOST, "/urgent/more/1")
        assert found is not None
        self.assertEqual("narrow", found.name)
        self.assertIsNone(configuration_index.find_queue("other.example", "/urgent/1"))


if __name__ == "__main__":
    unittest.main()
