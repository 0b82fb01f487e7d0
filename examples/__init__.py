"""Show deployments and how to embed the library."""

from __future__ import annotations
