"""Measure the decisions in virtual time, and the programs' own speed."""

from __future__ import annotations
