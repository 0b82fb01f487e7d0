"""Provide sockets, timers, settings, logs and admin pages to the programs."""

from __future__ import annotations
