"""Decide how a layer-4 load balancer routes, places, admits and recovers."""

from __future__ import annotations

__version__ = '0.1.0'
