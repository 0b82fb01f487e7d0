"""Report the load of targets in a few bytes, fit to travel with requests."""

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
    :ivar work: weight of the requests begun in the last second.
    :ivar accepting: whether it may get new work.
    """

    running: int
    queued: int
    slots: int
    flows: int
    work: float
    accepting: bool


class Report(typing.NamedTuple):
    """A load, whose it is and how old it is.

    :ivar number: of the instance, see :func:`instance_number`.
    :ivar age_s: seconds since it was measured, at the sender's reckoning.
    """

    number: int
    age_s: float
    load: Load


def instance_number(instance: str) -> int:
    """Return the 32-bit number that stands for an instance."""
    # Imported here: processes that carry packets read loads but rank no table,
    # and need not wait for it when they start.
    from teaseldock import table

    return table.service_id(f'instance/{instance}')


def pack_report(number: int, age_s: float, load: Load) -> bytes:
    """Return one report; what is too large for its field is cut."""
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
    """Return the reports within bytes; a rest that is cut is passed over."""
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
