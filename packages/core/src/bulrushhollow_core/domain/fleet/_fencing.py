"""
bulrushhollow_core.domain.fleet._fencing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fencing tokens of orders. They rise with each term and, within a term, with each life under one id.
"""

from bulrushhollow_core.ids import FencingToken, Term, WorkerId

TERM_SPACING = 1024
"""Distance between the terms of two leaders. A leader's tokens lie between its term and the next
one, so that an instance of an earlier version, whose token is its term, can lead as well."""


class TokenIssuer:
    """
    Issues the fencing tokens of one leader.

    Orders name only the id of a worker, and one that goes unanswered may be carried out in the next
    life under that id. The first order to that life carries a higher token, which makes those to
    earlier lives void.

    :param term: term of the leader.
    """

    def __init__(self, term: Term) -> None:
        """Start with the lowest token for every worker."""
        self._term = term
        self._last_token = FencingToken(term - term % TERM_SPACING + TERM_SPACING - 1)
        self._next_token_by_id: dict[WorkerId, FencingToken] = {}

    def issue(self, worker_id: WorkerId) -> FencingToken:
        """Return the token of a life, higher than those of the lives under its id before."""
        token = self._next_token_by_id.get(worker_id, FencingToken(self._term))
        self._next_token_by_id[worker_id] = min(FencingToken(token + 1), self._last_token)
        return token
