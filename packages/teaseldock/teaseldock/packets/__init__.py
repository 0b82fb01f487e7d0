"""Decisions about flows seen as packets; the system ends no connection."""

from __future__ import annotations
