"""Test what connects the balancer and the agent to the platform."""

from __future__ import annotations
