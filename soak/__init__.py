"""Run the real programs under faults, and check what callers see."""

from __future__ import annotations
