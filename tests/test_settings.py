import contextlib
import io
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushhollow_daemon.exceptions import SettingsError
from bulrushhollow_daemon.main import USAGE_ERROR, read_settings
from bulrushhollow_daemon.settings import (
    Settings,
    parse_address,
    parse_name,
    parse_peer,
    parse_url,
)

VALID_ARGUMENTS = ["--name", "a1", "--data-centre", "north", "--http", "127.0.0.1:0"]
VALID_ARGUMENTS += ["--peer-listen", "127.0.0.1:0"]


def read(*extra_arguments: str) -> tuple[Settings | int, str]:
    """Read settings; return them with the text printed on standard error."""
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        result = read_settings([*VALID_ARGUMENTS, *extra_arguments])
    return result, errors.getvalue()


class SettingsTest(unittest.TestCase):
    def assert_refused(self, flag: str, *extra_arguments: str) -> None:
        result, errors = read(*extra_arguments)
        self.assertEqual(USAGE_ERROR, result)
        self.assertEqual(1, errors.count("\n"), errors)
        self.assertIn(flag, errors)

    def test_valid_settings_are_read(self) -> None:
        result, errors = read("--peer", "b1=south=127.0.0.1:9=disk", "--drain", "5")
        assert isinstance(result, Settings)
        self.assertEqual("", errors)
        self.assertTrue(result.peers[0].has_disk)
        self.assertEqual(5.0, result.limits.drain)

    def test_environment_variables_replace_missing_flags(self) -> None:
        with mock.patch.dict(os.environ, {"BULRUSHHOLLOWD_DRAIN": "7"}):
            result, _ = read()
        assert isinstance(result, Settings)
        self.assertEqual(7.0, result.limits.drain)

    def test_each_invalid_value_gives_one_line_that_names_its_flag(self) -> None:
        cases = {
            "--drain": ("--drain", "-1"),
            "--body-timeout": ("--body-timeout", "nan"),
            "--queued-requests": ("--queued-requests", "0"),
            "--log-level": ("--log-level", "LOUD"),
            "--log-format": ("--log-format", "xml"),
            "--platform": ("--platform", "https://127.0.0.1:1"),
            "--found": ("--found",),
            "--peer": ("--peer", "a1=north=127.0.0.1:1"),
            "--request-bytes": ("--request-bytes", "many"),
            "--data-folder": ("--data-folder", __file__),
        }
        for flag, arguments in cases.items():
            with self.subTest(flag=flag):
                self.assert_refused(flag, *arguments)

    def test_host_names_are_refused(self) -> None:
        for text in ("localhost:80", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:-1", ":1"):
            with self.subTest(text=text), self.assertRaises(SettingsError):
                parse_address("--http", text)

    def test_nothing_is_written_for_an_invalid_value(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            data = pathlib.Path(folder) / "data"
            self.assert_refused("--drain", "--data-folder", str(data), "--drain", "-1")
            self.assertFalse(data.exists())

    @given(text=st.text())
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_parsers_refuse_or_accept_and_never_fail(self, text: str) -> None:
        for parse in (parse_name, parse_address, parse_peer, parse_url):
            with contextlib.suppress(SettingsError):
                parse("--flag", text)


if __name__ == "__main__":
    unittest.main()
