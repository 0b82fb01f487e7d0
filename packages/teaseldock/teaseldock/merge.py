"""Merge parts of register and rules into an inventory; describe changes."""

from __future__ import annotations

import ipaddress
import typing

from teaseldock import exceptions
from teaseldock import inventory

#: Maximum number of names per kind of change in a description.
MAX_DESCRIBED_NAMES = 8


class EntryNames(typing.NamedTuple):
    """Names of entries that a change may affect."""

    instances: set[str]
    services: set[str]


def _check_address(place: str, text: str) -> None:
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise exceptions.InventoryError(
            place,
            f'{text!r} is not an IPv4 address',
            remedy='use dotted decimal notation',
        ) from error


def _duplicate_name(place: str, remedy: str) -> exceptions.InventoryError:
    return exceptions.InventoryError(
        place, 'the name is not unique', remedy=remedy
    )


def _check_instance(
    contents: inventory.Inventory, instance: inventory.Instance
) -> None:
    place = f'register/instances/{instance["name"]}'
    _check_address(f'{place}/address', instance['address'])
    if instance['data_centre'] not in contents.data_centres:
        raise exceptions.InventoryError(
            f'{place}/data_centre',
            f'{instance["data_centre"]!r} is not in the register',
            remedy='add the data centre or correct the name',
        )


def _check_targets(
    contents: inventory.Inventory, service: inventory.Service
) -> None:
    place = f'rules/services/{service["name"]}/targets'
    names = [target['instance'] for target in service['targets']]
    if not names:
        raise exceptions.InventoryError(
            place,
            'the service has no target',
            remedy='add an instance or remove the service',
        )
    for name in names:
        if name not in contents.instances:
            raise exceptions.InventoryError(
                f'{place}/{name}',
                'the instance is not in the register',
                remedy='register it first or correct the name',
            )
        if names.count(name) > 1:
            raise exceptions.InventoryError(
                f'{place}/{name}',
                'the instance is listed more than once',
                remedy='keep one entry and set its weight',
            )


class _InventoryUpdate:
    """Copy an inventory, remove and add parts, and check the result.

    Only the entries of these parts are processed: a change of one part among
    thousands must take only milliseconds, as every process applies it.
    """

    def __init__(self, previous: inventory.Inventory) -> None:
        self._previous = previous
        self._data_centres = dict(previous.data_centres)
        self._instances = dict(previous.instances)
        self._services = dict(previous.services)
        index = previous.index
        self._index = inventory.Index(
            dict(index.endpoints),
            dict(index.slots),
            index.uses.copy(),
            index.leaving.copy(),
        )
        self._touched_instances: set[str] = set()
        self._touched_services: set[str] = set()

    def remove(self, parts: inventory.Parts) -> None:
        """Remove parts."""
        for register in parts.registers:
            for centre in register['data_centres']:
                self._data_centres.pop(centre['name'], None)
            for instance in register['instances']:
                self._remove_instance(instance)
        for rules in parts.rules:
            for service in rules['services']:
                self._remove_service(service)
            self._index.leaving.subtract(rules['leaving'])

    def _remove_instance(self, instance: inventory.Instance) -> None:
        self._touched_instances.add(instance['name'])
        self._instances.pop(instance['name'], None)
        slot = (instance['address'], instance['peer_port'])
        self._index.slots.pop(slot, None)

    def _remove_service(self, service: inventory.Service) -> None:
        self._touched_services.add(service['name'])
        self._services.pop(service['name'], None)
        endpoint = (service['address'], service['port'])
        self._index.endpoints.pop(endpoint, None)
        self._index.uses.subtract(
            target['instance'] for target in service['targets']
        )

    def add(self, parts: inventory.Parts) -> None:
        """Add parts.

        :raises InventoryError: if a name or an endpoint is already in use.
        """
        for register in parts.registers:
            for centre in register['data_centres']:
                self._add_data_centre(centre)
            for instance in register['instances']:
                self._add_instance(instance)
        for rules in parts.rules:
            for service in rules['services']:
                self._add_service(service)
            self._index.leaving.update(rules['leaving'])

    def _add_data_centre(self, centre: inventory.DataCentre) -> None:
        name = centre['name']
        if name in self._data_centres:
            raise _duplicate_name(
                f'register/data_centres/{name}', 'keep one entry'
            )
        self._data_centres[name] = centre

    def _add_instance(self, instance: inventory.Instance) -> None:
        name = instance['name']
        place = f'register/instances/{name}'
        if name in self._instances:
            raise _duplicate_name(place, 'rename or remove one of the two')
        slot = (instance['address'], instance['peer_port'])
        if slot in self._index.slots:
            raise exceptions.InventoryError(
                place,
                f'shares its address and peer port with '
                f'{self._index.slots[slot]!r}',
                remedy='give each agent a port of its own',
            )
        self._touched_instances.add(name)
        self._instances[name] = instance
        self._index.slots[slot] = name

    def _add_service(self, service: inventory.Service) -> None:
        name = service['name']
        place = f'rules/services/{name}'
        if name in self._services:
            raise _duplicate_name(place, 'rename or remove one of the two')
        endpoint = (service['address'], service['port'])
        if endpoint in self._index.endpoints:
            raise exceptions.InventoryError(
                place,
                f'shares its address and port with '
                f'{self._index.endpoints[endpoint]!r}',
                remedy='give each service an address of its own',
            )
        self._touched_services.add(name)
        self._services[name] = service
        self._index.endpoints[endpoint] = name
        self._index.uses.update(
            target['instance'] for target in service['targets']
        )

    def build(self) -> inventory.Inventory:
        """Check the new inventory and return it.

        :raises InventoryError: if a check fails.
        """
        leaving = frozenset(
            name for name, count in self._index.leaving.items() if count > 0
        )
        contents = inventory.Inventory(
            self._data_centres,
            self._instances,
            self._services,
            leaving,
            self._index,
        )
        self._check(contents)
        return contents

    def _check(self, contents: inventory.Inventory) -> None:
        to_check = self._touched_instances
        if self._previous.data_centres.keys() - contents.data_centres.keys():
            to_check = contents.instances.keys()
        for name in sorted(to_check):
            if name in contents.instances:
                _check_instance(contents, contents.instances[name])
        for name in sorted(self._touched_services):
            service = contents.services.get(name)
            if service is not None:
                place = f'rules/services/{name}'
                _check_address(f'{place}/address', service['address'])
                _check_targets(contents, service)
        self._check_removed_instances(contents)
        for name in contents.leaving:
            if name not in contents.instances:
                raise exceptions.InventoryError(
                    f'rules/leaving/{name}',
                    'the instance is not in the register',
                    remedy='remove the entry or correct the name',
                )

    def _check_removed_instances(self, contents: inventory.Inventory) -> None:
        """Refuse to remove an instance that is a target of a service."""
        for name in sorted(self._touched_instances):
            if name in contents.instances or self._index.uses[name] <= 0:
                continue
            raise exceptions.InventoryError(
                f'register/instances/{name}',
                'the instance was removed, but the rules name it as a target',
                remedy='remove it from the rules first',
            )


def replace_parts(
    previous: inventory.Inventory,
    removed: inventory.Parts,
    added: inventory.Parts,
) -> inventory.Inventory:
    """Return an inventory in which some parts are replaced.

    :raises InventoryError: if a check fails; none of the added parts may
        then be put into force.
    """
    revision = _InventoryUpdate(previous)
    revision.remove(removed)
    revision.add(added)
    return revision.build()


def inventory_from_parts(
    registers: typing.Iterable[inventory.Register],
    rules: typing.Iterable[inventory.Rules],
) -> inventory.Inventory:
    """Merge all parts of register and rules and check them as a whole.

    :raises InventoryError: if a check fails.
    """
    added = inventory.Parts(list(registers), list(rules))
    return replace_parts(inventory.EMPTY_INVENTORY, inventory.NO_PARTS, added)


def entry_names(parts: inventory.Parts) -> EntryNames:
    """Return the names of all entries in some parts."""
    return EntryNames(
        {
            item['name']
            for part in parts.registers
            for item in part['instances']
        },
        {item['name'] for part in parts.rules for item in part['services']},
    )


def _describe_names(
    kind: str, names: typing.Iterable[str], before: dict, after: dict
) -> list[str]:
    found: dict[str, list[str]] = {'+': [], '-': [], '~': []}
    for name in sorted(names):
        if name not in before and name in after:
            found['+'].append(name)
        elif name in before and name not in after:
            found['-'].append(name)
        elif name in before and before[name] != after[name]:
            found['~'].append(name)
    return [
        f'{sign}{kind} {",".join(listed[:MAX_DESCRIBED_NAMES])}'
        for sign, listed in found.items()
        if listed
    ]


def describe(
    before: inventory.Inventory,
    after: inventory.Inventory,
    names: EntryNames,
) -> str:
    """Return a one-line summary of the differences of two inventories.

    :param names: of the entries that may differ.
    """
    parts = _describe_names(
        'instances', names.instances, before.instances, after.instances
    )
    parts += _describe_names(
        'services', names.services, before.services, after.services
    )
    parts += _describe_names(
        'leaving',
        before.leaving | after.leaving,
        dict.fromkeys(before.leaving, True),
        dict.fromkeys(after.leaving, True),
    )
    return '; '.join(parts) or 'nothing'
