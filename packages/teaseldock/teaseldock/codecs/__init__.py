"""Decode and encode the datagrams of callers and backend servers."""

from __future__ import annotations
