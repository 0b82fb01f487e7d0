"""Give the teaseldock programs their sockets, timers and admin pages."""

from __future__ import annotations
