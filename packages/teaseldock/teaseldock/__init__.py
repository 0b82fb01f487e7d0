"""Decide routing, placement, admission and recovery of a load balancer.

The load balancer works on layer 4. The library does no I/O.
"""

from __future__ import annotations

__version__ = '0.1.0'
