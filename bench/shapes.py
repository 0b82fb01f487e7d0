"""Define the deployments that are simulated in virtual time."""

from __future__ import annotations

import typing


class Shape(typing.NamedTuple):
    """Services, capacity and network delays of a deployment.

    :ivar services: name and number of targets of each service.
    :ivar slots: requests that a server runs at the same time.
    :ivar hop_s: one-way delay between processes, seconds.
    :ivar client_s: one-way delay between callers and the system, seconds.
    :ivar guarded: path of the requests that must not run twice.
    :ivar feed_service: service that offers feeds.
    """

    name: str
    services: tuple[tuple[str, int], ...]
    slots: int
    hop_s: float
    client_s: float
    guarded: str
    feed_service: str


PRAIRIE = Shape(
    'prairie',
    (('dispatch', 7), ('tickets', 3)),
    2,
    0.0015,
    0.003,
    'orders',
    'dispatch',
)
ZILINA = Shape(
    'zilina',
    (('payroll', 7), ('documents', 3)),
    4,
    0.0005,
    0.001,
    'hours',
    'payroll',
)
SHAPES = {shape.name: shape for shape in (PRAIRIE, ZILINA)}


def new_instance(
    shape: Shape, name: str, number: int
) -> dict[str, typing.Any]:
    """Return the register entry of an instance."""
    return {
        'name': name,
        'data_centre': f'dc-{number % 3}',
        'address': f'10.1.0.{number}',
        'peer_port': 5700,
        'slots': shape.slots,
        'connections': 2000,
    }


def documents(shape: Shape) -> tuple[dict, dict]:
    """Return the register and the rules of a deployment."""
    instances = []
    services = []
    number = 0
    for index, (name, count) in enumerate(shape.services):
        targets = []
        for _ in range(count):
            number += 1
            instance = new_instance(shape, f'{name}-{number}', number)
            instances.append(instance)
            targets.append(
                {'instance': instance['name'], 'port': 1, 'weight': 1.0}
            )
        services.append(
            {
                'name': name,
                'address': f'10.9.0.{index + 1}',
                'port': 5683,
                'targets': targets,
                'request_classes': [
                    {
                        'name': 'guarded',
                        'method': 'POST',
                        'path': shape.guarded,
                        'weight': 2.0,
                    }
                ],
            }
        )
    centres = [{'name': f'dc-{n}', 'region': 'r'} for n in range(3)]
    return (
        {'data_centres': centres, 'instances': instances},
        {'services': services, 'leaving': []},
    )
