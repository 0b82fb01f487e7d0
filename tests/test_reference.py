"""Test that the reference pages are what the code says."""

from __future__ import annotations

import pytest

from tools import reference


@pytest.mark.parametrize('name', reference.PAGES)
def test_page_is_up_to_date(name: str) -> None:
    """A page that differs needs ``python -m tools.reference``."""
    written = (reference.FOLDER / name).read_text()
    assert written == reference.PAGES[name]()
