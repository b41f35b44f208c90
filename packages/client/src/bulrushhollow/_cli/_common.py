"""
bulrushhollow._cli._common
~~~~~~~~~~~~~~~~~~~~~~~~~~

What all subcommands share: options, calls in a session, output and input files.
"""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, TypeVar

import anyio
import msgspec
from cyclopts import Parameter

from bulrushhollow._checks import DEFAULT_ENTRY
from bulrushhollow.exceptions import InvalidCallError
from bulrushhollow.models import Reason, Refusal
from bulrushhollow.sessions import Session

ENTRY_VARIABLE = "BULRUSHHOLLOW_ENTRY"
"""Environment variable with the addresses of entry instances, separated by spaces."""

T = TypeVar("T")


@Parameter(name="*")
@dataclass(frozen=True)
class CommonOptions:
    """Options of every subcommand."""

    entry: Annotated[
        tuple[str, ...],
        Parameter(env_var=ENTRY_VARIABLE, help="Address of an entry instance; may be repeated."),
    ] = (DEFAULT_ENTRY,)
    json: Annotated[bool, Parameter(help="Print the answer as JSON.")] = False


COMMON_OPTIONS = CommonOptions()


def run_in_session(common: CommonOptions, operation: Callable[[Session], Awaitable[T]]) -> T:
    """Run an operation in a new session and return its result."""

    async def run() -> T:
        async with Session(common.entry) as session:
            return await operation(session)

    return anyio.run(run)


def print_answer(common: CommonOptions, value: object, render: Callable[[], str]) -> None:
    """
    Print an answer as JSON or as text.

    :param render: returns the text for a person; called only without ``--json``.
    """
    print(msgspec.json.encode(value).decode() if common.json else render())


def print_note(text: str) -> None:
    """Print a line that is not part of the answer to the standard error."""
    print(text, file=sys.stderr, flush=True)


def usage_error(detail: str) -> InvalidCallError:
    """Return the exception for invalid input of the user."""
    return InvalidCallError(Refusal(Reason.INVALID, detail))


def read_file(path: Path) -> bytes:
    """Return the content of a file given by the user; ``-`` is the standard input."""
    if str(path) == "-":
        return sys.stdin.buffer.read()
    try:
        return path.read_bytes()
    except OSError as error:
        raise usage_error(f"cannot read {path}: {error.strerror}") from None


def read_json_file(path: Path, struct_type: type[T]) -> T:
    """Return the struct in a JSON file given by the user."""
    try:
        return msgspec.json.decode(read_file(path), type=struct_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise usage_error(f"{path}: {error}") from None
