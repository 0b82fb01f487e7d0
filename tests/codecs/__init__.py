"""Test the codecs."""

from __future__ import annotations
