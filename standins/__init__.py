"""Stand in for external systems and callers, for demos and tests only."""

from __future__ import annotations
