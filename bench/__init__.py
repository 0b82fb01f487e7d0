"""Simulate the decisions in virtual time and time the real programs."""

from __future__ import annotations
