"""Test the decisions about flows as packets."""

from __future__ import annotations
