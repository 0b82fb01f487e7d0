"""Test the library and the programs."""

from __future__ import annotations
