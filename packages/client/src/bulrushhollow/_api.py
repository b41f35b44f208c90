"""
bulrushhollow._api
~~~~~~~~~~~~~~~~~~

Functions of the package for programs that do not run an event loop.
"""

from collections.abc import Sequence

import anyio

from bulrushhollow.models import JobAnswer, Response
from bulrushhollow.sessions import Session


def request(
    profile: str,
    body: bytes = b"",
    *,
    entries: Sequence[str] = (),
    idempotency_key: str | None = None,
    idempotent: bool = False,
    deadline: float | None = None,
) -> Response:
    """
    Send a request and return the endpoint's whole answer; see :meth:`Session.request`.

    Usage::

        import bulrushhollow
        response = bulrushhollow.request("labels", b"stall 7", entries=["http://127.0.0.1:8000"])

    :param entries: base addresses of entry instances.
    """

    async def call() -> Response:
        async with Session(entries) as session:
            return await session.request(
                profile,
                body,
                idempotency_key=idempotency_key,
                idempotent=idempotent,
                deadline=deadline,
            )

    return anyio.run(call)


def submit(
    profile: str,
    payload: str = "",
    *,
    entries: Sequence[str] = (),
    job_id: str | None = None,
    data_centre: str | None = None,
) -> JobAnswer:
    """
    Submit a job and return its state; see :meth:`Session.submit`.

    :param entries: base addresses of entry instances.
    """

    async def call() -> JobAnswer:
        async with Session(entries) as session:
            return await session.submit(profile, payload, job_id=job_id, data_centre=data_centre)

    return anyio.run(call)
