"""Agent of the teaseldock load balancer, beside a backend server."""

from __future__ import annotations
