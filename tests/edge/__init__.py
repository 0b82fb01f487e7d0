"""Test the sockets, timers and logs of the programs."""

from __future__ import annotations
