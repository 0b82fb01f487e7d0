"""Test the plumbing of the packet programs."""

from __future__ import annotations
