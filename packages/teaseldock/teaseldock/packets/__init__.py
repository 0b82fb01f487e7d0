"""Decisions about flows at packet level, without terminating connections."""

from __future__ import annotations
