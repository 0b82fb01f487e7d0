"""Keep the repository in order; not part of the shipped packages."""

from __future__ import annotations
