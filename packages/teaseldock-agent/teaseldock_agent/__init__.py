"""Run the teaseldock process beside a backend server."""

from __future__ import annotations
