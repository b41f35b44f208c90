"""
bulrushhollow._cli._explain
~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow explain``: why a request or job ended as it did, from several logs.
"""

import sys
from pathlib import Path

from bulrushhollow._cli._common import read_file, usage_error
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow.logbook import Logbook


def explain(name: str = "", /, *files: Path, summary: bool = False) -> int:
    """Tell the story of a request or job from structured logs.

    Parameters
    ----------
    name
        Id of the request or job. Leave it out with --summary.
    files
        Logs of the processes; the standard input if none is given.
    summary
        Count refusals, retries and restarts by their causes instead.
    """
    if not name and not summary:
        raise usage_error("give an id, or --summary")
    if summary and name:
        files = (Path(name), *files)
    if files:
        texts = (read_file(file).decode(errors="replace") for file in files)
        lines = [line for text in texts for line in text.split("\n")]
    else:
        lines = list(sys.stdin)
    book = Logbook(lines)
    print(book.summary() if summary else book.explain(name))
    return ExitCode.DONE
