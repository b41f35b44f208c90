"""Tests of the validation and the lookups of a domain's configuration."""

import unittest

import msgspec

from bulrushhollow_core.domain import Workspace, find_invalidity
from bulrushhollow_core.domain.model import ConfigurationIndex, Invalidity
from bulrushhollow_core.ids import Seconds, WorkspaceId
from standins.domain_site import HOST, configuration, queue


class ValidityTest(unittest.TestCase):
    def test_a_complete_configuration_is_valid(self) -> None:
        self.assertIsNone(find_invalidity(configuration(1)))

    def test_an_unknown_service_is_refused(self) -> None:
        invalid = msgspec.structs.replace(configuration(1), services=())
        self.assertIs(Invalidity.UNKNOWN_SERVICE, find_invalidity(invalid))

    def test_two_queues_with_the_same_route_are_refused(self) -> None:
        one = queue("urgent", 0)
        other = msgspec.structs.replace(one, name="other")
        invalid = msgspec.structs.replace(configuration(1), queues=(one, other))
        self.assertIs(Invalidity.DUPLICATE_ROUTE, find_invalidity(invalid))

    def test_a_shared_key_is_refused(self) -> None:
        both = tuple(Workspace(WorkspaceId(name), ("k",), 0) for name in ("a", "b"))
        invalid = msgspec.structs.replace(configuration(1), workspaces=both)
        self.assertIs(Invalidity.SHARED_KEY, find_invalidity(invalid))

    def test_a_queue_without_a_timeout_is_refused(self) -> None:
        one = msgspec.structs.replace(queue("urgent", 0), timeout=Seconds(0.0))
        invalid = msgspec.structs.replace(configuration(1), queues=(one,))
        self.assertIs(Invalidity.NO_TIMEOUT, find_invalidity(invalid))


class ConfigurationIndexTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self) -> None:
        wide = queue("urgent", 0)
        narrow = msgspec.structs.replace(wide, name="narrow", prefix="/urgent/more/")
        configuration_index = ConfigurationIndex(
            msgspec.structs.replace(configuration(1), queues=(wide, narrow))
        )
        match = configuration_index.find_queue(HOST, "/urgent/more/1")
        assert match is not None
        self.assertEqual("narrow", match.name)
        self.assertIsNone(configuration_index.find_queue("other.example", "/urgent/1"))


if __name__ == "__main__":
    unittest.main()
