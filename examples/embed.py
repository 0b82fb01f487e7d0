"""Embed the decisions of a balancer and an agent without the programs.

The embedding program supplies time, randomness and transport. It passes typed
messages to the library and carries out the actions that it returns. This
example passes one request through and prints the decisions of the balancer
and the agent.
"""

from __future__ import annotations

import json
import pathlib
import random

import aiocoap

from teaseldock import agent
from teaseldock import balancer
from teaseldock.codecs import coap
from teaseldock import configuration
from teaseldock import context
from teaseldock import flow
from teaseldock import messages
from teaseldock import proxy_header
from teaseldock import roster

FOLDER = pathlib.Path(__file__).parent / 'prairie'
KEYS = context.Keys((b'seal key 16 byte',), b'flow hash 16 byt')


def request(message_id: int, echo: bytes | None) -> bytes:
    """Return an upload of a caller.

    :param echo: the Echo value of a challenge, or None without one.
    """
    message = aiocoap.Message(code=aiocoap.PUT, payload=b'body')
    message.opt.uri_path = ('scans',)
    message.opt.echo = echo
    message.mtype = aiocoap.CON
    message.mid = message_id
    message.token = b't'
    return message.encode()


def main() -> list[messages.Action]:
    """Return the agent's challenge to the caller and request to the server."""
    documents = [
        configuration.Document(
            key, number, 'me', (FOLDER / f'{key}.json').read_bytes()
        )
        for number, key in enumerate(('register', 'rules'), start=1)
    ]
    entry_balancer = balancer.Balancer(
        own=roster.new_member(
            'entry',
            role='balancer',
            data_centre='yard-north',
            host='::',
            port=1,
        ),
        hash_key=KEYS.flow_hash,
        randomness=random.Random(1),
        now=0.0,
    )
    entry_balancer.offer(documents, 0.0, wall_s=0.0)
    caller = flow.Endpoint('192.0.2.1', 4000)
    key = flow.flow_key(caller, flow.Endpoint('127.20.0.2', 5683))
    explanation = balancer.node.explain(
        entry_balancer.view, key, hash_key=KEYS.flow_hash
    )
    print(json.dumps(explanation))
    holder = agent.Agent(
        own=roster.new_member(
            explanation['owner'],
            role='agent',
            data_centre='yard-north',
            host='::',
            port=2,
        ),
        codec=coap.CoapCodec(),
        keys=KEYS,
        randomness=random.Random(2),
        now=0.0,
    )
    holder.offer(documents, 0.0, wall_s=0.0)
    number = entry_balancer.view.table.service('tickets').number
    packet = proxy_header.Packet(
        key, number, 2, proxy_header.Role.PLACED, 0, request(1, None)
    )
    (challenge,) = holder.on_packet(packet, 1.0)
    echo = aiocoap.Message.decode(challenge.payload).opt.echo
    (to_server,) = holder.on_packet(
        packet._replace(payload=request(2, echo)), 1.1
    )
    for action in (challenge, to_server):
        print(type(action).__name__, action)
    return [challenge, to_server]


if __name__ == '__main__':
    main()
