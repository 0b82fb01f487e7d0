"""Stand in for what surrounds teaseldock: for demos and tests only."""

from __future__ import annotations
