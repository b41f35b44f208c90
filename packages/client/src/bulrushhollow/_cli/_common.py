"""
bulrushhollow._cli._common
~~~~~~~~~~~~~~~~~~~~~~~~~~

What every subcommand shares: its options, the call itself and the printing of an answer.
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
"""Environment variable with the addresses of entry instances, split by spaces."""

T = TypeVar("T")


@Parameter(name="*")
@dataclass(frozen=True)
class Common:
    """Options of every subcommand."""

    entry: Annotated[
        tuple[str, ...],
        Parameter(env_var=ENTRY_VARIABLE, help="Address of an entry instance; may be repeated."),
    ] = (DEFAULT_ENTRY,)
    json: Annotated[bool, Parameter(help="Print the answer as JSON.")] = False


COMMON = Common()


def call(common: Common, use: Callable[[Session], Awaitable[T]]) -> T:
    """Run one piece of work with a session of its own."""

    async def run() -> T:
        async with Session(common.entry) as session:
            return await use(session)

    return anyio.run(run)


def show(common: Common, value: object, render: Callable[[], str]) -> None:
    """
    Print an answer.

    :param render: gives the text for a person; called only if JSON was not asked for.
    """
    print(msgspec.json.encode(value).decode() if common.json else render())


def note(text: str) -> None:
    """Print a line that is not part of the answer."""
    print(text, file=sys.stderr, flush=True)


def invalid(detail: str) -> InvalidCallError:
    """Return the exception for a mistake in what the user gave."""
    return InvalidCallError(Refusal(Reason.INVALID, detail))


def read_file(path: Path) -> bytes:
    """Read a file that the user named; ``-`` is the standard input."""
    if str(path) == "-":
        return sys.stdin.buffer.read()
    try:
        return path.read_bytes()
    except OSError as error:
        raise invalid(f"cannot read {path}: {error.strerror}") from None


def read_struct(path: Path, kind: type[T]) -> T:
    """Read a struct from a JSON file that the user named."""
    try:
        return msgspec.json.decode(read_file(path), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise invalid(f"{path}: {error}") from None
