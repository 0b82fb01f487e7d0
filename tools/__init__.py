"""Development tools; not part of the shipped packages."""

from __future__ import annotations
