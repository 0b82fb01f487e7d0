"""Test the examples as their documentation describes them."""

from __future__ import annotations

import pathlib

import pytest

from examples import embed
from standins import deployment
from teaseldock import configuration
from teaseldock import messages

FOLDER = pathlib.Path(embed.__file__).parent


def test_embedding_needs_no_program() -> None:
    """The decisions need only typed messages and a time."""
    challenge, to_server = embed.main()
    assert isinstance(challenge, messages.ToCaller)
    assert isinstance(to_server, messages.ToServer)
    assert to_server.service == 'tickets'


@pytest.mark.parametrize('name', ['prairie', 'zilina'])
def test_deployments_pass_the_check(name: str) -> None:
    """The documents of both example deployments are valid."""
    documents = [
        configuration.Document(
            key, 1, 'x', (FOLDER / name / f'{key}.json').read_bytes()
        )
        for key in ('register', 'rules')
    ]
    contents = configuration.check_documents(documents)
    assert len(contents.instances) == 10
    assert deployment.load_example(name)[1]['leaving'] == []
