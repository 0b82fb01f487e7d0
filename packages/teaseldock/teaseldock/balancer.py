"""Implement the decisions of a balancer."""

from __future__ import annotations

import random
import typing

from teaseldock import messages
from teaseldock import node
from teaseldock import routing


class Balancer(node.Node):
    """Route packets to the owners of their buckets, without flow state."""

    def __init__(
        self,
        *,
        own: messages.Member,
        hash_key: bytes,
        randomness: random.Random,
        now: float,
    ) -> None:
        """Create a balancer without any documents.

        :param hash_key: key of the flow hash.
        """
        super().__init__(own=own, randomness=randomness, now=now)
        self._router = routing.Router(current=self._view, hash_key=hash_key)

    @property
    def router(self) -> routing.Router:
        """Return the router of packets."""
        return self._router

    def on_view_changed(self, now: float) -> list[messages.Action]:
        """Do nothing; the router checks the view's version."""
        return []

    def status(self, now: float) -> dict[str, typing.Any]:
        """Return figures for the status page."""
        return {
            'dropped': dict(self._router.dropped),
            'services': len(self._view.table),
        }
