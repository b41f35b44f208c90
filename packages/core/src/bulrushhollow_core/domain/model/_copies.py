"""
bulrushhollow_core.domain.model._copies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Copies of the leader's records for plans that are made and not carried out.
"""

import copy
from collections import deque
from typing import TypeVar

T = TypeVar("T")


def detached_copy(original: T) -> T:
    """
    Return a copy of an object with copies of its containers, so that adding and removing entries
    leaves the original as it is. The entries themselves are shared.
    """
    clone = copy.copy(original)
    for name, value in vars(clone).items():
        if isinstance(value, dict | list | set | deque):
            setattr(clone, name, copy.copy(value))
    return clone
