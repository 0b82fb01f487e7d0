"""Run the real programs under faults and check what callers observe."""

from __future__ import annotations
