"""Balancer of the teaseldock load balancer."""

from __future__ import annotations
