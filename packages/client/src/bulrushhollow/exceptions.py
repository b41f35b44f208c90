"""
bulrushhollow.exceptions
~~~~~~~~~~~~~~~~~~~~~~~~

The one family of exceptions of the client library. Each says whether the work ran.
"""

from bulrushhollow_core.outcomes import Execution, Reason, Refusal


class BulrushhollowError(Exception):
    """
    Base of every exception of this library.

    :param refusal: why there is no answer, and whether the work ran.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal and take its detail, or else its reason, as the message."""
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
    """The call cannot be sent as it is: a wrong address, file or value. Nothing was sent."""


class RefusedError(BulrushhollowError):
    """The work was refused and did not run."""


class EntryUnreachableError(RefusedError):
    """No entry instance could be connected to; the work did not run."""


class OutcomeUnknownError(BulrushhollowError):
    """The answer was lost; the work may or may not have run."""


class WorkFailedError(BulrushhollowError):
    """The work ran and gave no good result."""


def from_refusal(refusal: Refusal) -> BulrushhollowError:
    """Choose the exception that says what the refusal says of the work."""
    if refusal.execution is Execution.NOT_RUN:
        return RefusedError(refusal)
    if refusal.execution is Execution.UNKNOWN:
        return OutcomeUnknownError(refusal)
    return WorkFailedError(refusal)
