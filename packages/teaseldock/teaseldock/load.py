"""Encode load reports of targets, small enough to be sent with requests."""

from __future__ import annotations

import struct
import typing

_LAYOUT = struct.Struct('!IHBBBHHB')
#: Bytes of one report.
REPORT_BYTES = _LAYOUT.size
_WORK_UNIT = 0.1
_MAX_UINT8 = 0xFF
_MAX_UINT16 = 0xFFFF


class Load(typing.NamedTuple):
    """Load of one target.

    :ivar running: requests at the server.
    :ivar queued: requests that wait in the agent.
    :ivar slots: requests that the server may run at once now.
    :ivar flows: flows held.
    :ivar work: total weight of the requests begun in the last second.
    :ivar accepting: whether the target accepts new flows and requests.
    """

    running: int
    queued: int
    slots: int
    flows: int
    work: float
    accepting: bool


class Report(typing.NamedTuple):
    """A load, its instance and its age.

    :ivar number: of the instance, see :func:`instance_number`.
    :ivar age_s: seconds since the measurement, as computed by the sender.
    """

    number: int
    age_s: float
    load: Load


def instance_number(instance: str) -> int:
    """Return the 32-bit number that identifies an instance."""
    # Imported here, because processes that carry packets read load reports
    # but rank no targets: the import would only delay their start.
    from teaseldock import table

    return table.service_id(f'instance/{instance}')


def pack_report(number: int, age_s: float, load: Load) -> bytes:
    """Encode one report; a value too large for its field is capped."""
    return _LAYOUT.pack(
        number,
        min(_MAX_UINT16, int(age_s * 1000)),
        min(_MAX_UINT8, load.running),
        min(_MAX_UINT8, load.queued),
        min(_MAX_UINT8, load.slots),
        min(_MAX_UINT16, load.flows),
        min(_MAX_UINT16, round(load.work / _WORK_UNIT)),
        load.accepting,
    )


def read_reports(packed: bytes) -> list[Report]:
    """Decode reports; an incomplete report at the end is ignored."""
    whole = len(packed) - len(packed) % REPORT_BYTES
    reports = []
    for fields in _LAYOUT.iter_unpack(packed[:whole]):
        number, age, running, queued, slots, flows, work, accepting = fields
        load = Load(
            running,
            queued,
            max(1, slots),
            flows,
            work * _WORK_UNIT,
            bool(accepting),
        )
        reports.append(Report(number, age / 1000, load))
    return reports
