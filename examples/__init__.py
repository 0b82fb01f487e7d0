"""Example deployments, and an example that embeds the library."""

from __future__ import annotations
