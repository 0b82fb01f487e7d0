"""Test the translation between the users' platform and the product."""

from __future__ import annotations
