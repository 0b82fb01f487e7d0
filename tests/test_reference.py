"""Test that the reference pages match the code."""

from __future__ import annotations

import pytest

from tools import reference


@pytest.mark.parametrize('name', reference.PAGES)
def test_page_is_up_to_date(name: str) -> None:
    """On failure, run ``python -m tools.reference`` to update the page."""
    written = (reference.FOLDER / name).read_text()
    assert written == reference.PAGES[name]()
