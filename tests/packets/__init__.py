"""Tests of the decisions about flows at packet level."""

from __future__ import annotations
