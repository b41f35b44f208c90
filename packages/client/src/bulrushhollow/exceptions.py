"""
bulrushhollow.exceptions
~~~~~~~~~~~~~~~~~~~~~~~~

The exceptions of the client library. Each class states whether the work ran.
"""

from bulrushhollow_core.outcomes import Execution, Reason, Refusal


class BulrushhollowError(Exception):
    """
    Base of every exception of this library.

    The message is the detail of the refusal, or its reason if there is no detail.

    :param refusal: why there is no answer, and whether the work ran.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail or refusal.reason.value.replace("_", " "))
        self.refusal = refusal

    @property
    def reason(self) -> Reason:
        """Why there is no answer."""
        return self.refusal.reason

    @property
    def execution(self) -> Execution:
        """Whether the work ran."""
        return self.refusal.execution


class InvalidCallError(BulrushhollowError):
    """The call has an invalid address, file or value. Nothing was sent."""


class RefusedError(BulrushhollowError):
    """The work was refused and did not run."""


class EntryUnreachableError(RefusedError):
    """No connection to an entry instance could be made; the work did not run."""


class OutcomeUnknownError(BulrushhollowError):
    """The answer was lost; the work may or may not have run."""


class WorkFailedError(BulrushhollowError):
    """The work ran and failed."""


def from_refusal(refusal: Refusal) -> BulrushhollowError:
    """Return the exception for a refusal, by whether the work ran."""
    if refusal.execution is Execution.NOT_RUN:
        return RefusedError(refusal)
    if refusal.execution is Execution.UNKNOWN:
        return OutcomeUnknownError(refusal)
    return WorkFailedError(refusal)
