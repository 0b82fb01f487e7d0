"""Count failed and delayed requests in the logs of processes, by cause.

Usage:
  explain [--from=<s>] [--until=<s>] <log>...

Options:
  --from=<s>   Skip lines before this second of steady or simulated time.
  --until=<s>  Skip lines after this second.

Each <log> is a log file of a process or a folder of such files. A time and
a name may precede the JSON of a line.
"""

from __future__ import annotations

import collections
import json
import pathlib
import sys
import typing

import docopt

#: Number of the first copy of an opening. A later copy means that its caller
#: waited for an answer in vain.
_FIRST_COPY = 0
#: Milliseconds after which the search for a flow is late: callers repeat their
#: data after 200 ms.
_FOUND_LATE_MS = 200


class Line(typing.NamedTuple):
    """One line of a log.

    :ivar at: the time that precedes the line, or its steady clock, in seconds.
    """

    at: float
    process: str
    event: str
    fields: dict[str, typing.Any]


class Loss(typing.NamedTuple):
    """Requests that failed or were delayed for one cause.

    :ivar cause: event, with the reason in the line if it has one.
    :ivar requests: number of requests, counted by flow.
    :ivar processes: number of processes that logged the cause.
    :ivar first: earliest line with the cause.
    """

    cause: str
    requests: int
    processes: int
    first: Line


def read_line(text: str) -> Line | None:
    """Parse a line of a log; return None if it is not valid."""
    head, brace, rest = text.partition('{')
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        number = head.split()[0] if head.strip() else fields['steady']
        return Line(float(number), fields['process'], fields['event'], fields)
    except (ValueError, KeyError, TypeError):
        return None


def cause_of(line: Line) -> str | None:
    """Return the cause that a line gives for a failure or delay, if any."""
    fields = line.fields
    if line.event == 'given back' and fields.get('why') == 'overloaded':
        # Another agent may take the flow; if none does, it is refused.
        return None
    if line.event in (
        'refused',
        'request failed',
        'given back',
        'link dropped',
    ):
        return f'{line.event}: {fields.get("why", "")}'
    if line.event in ('flow lost', 'request given up', 'reset kept back'):
        return line.event
    if line.event == 'placed' and fields.get('copy', 0) > _FIRST_COPY:
        return 'opening placed at a repetition only'
    if line.event == 'handed on' and fields.get('hand_offs', 0) > 1:
        return 'handed on more than once'
    if line.event == 'released':
        late = fields.get('waited_ms', 0) > fields.get('aim_ms', 0)
        return 'waited longer than its objective' if late else None
    if line.event == 'flow found':
        late = fields.get('took_ms', 0) > _FOUND_LATE_MS
        return 'flow found late' if late else None
    return None


def losses(lines: typing.Iterable[Line]) -> list[Loss]:
    """Return the losses by cause, the one with most requests first."""
    flows: collections.defaultdict[str, set[str]] = collections.defaultdict(
        set
    )
    processes: collections.defaultdict[str, set[str]] = (
        collections.defaultdict(set)
    )
    first: dict[str, Line] = {}
    for line in lines:
        cause = cause_of(line)
        if cause is None:
            continue
        flows[cause].add(line.fields.get('flow', ''))
        processes[cause].add(line.process)
        if cause not in first or line.at < first[cause].at:
            first[cause] = line
    found = [
        Loss(cause, len(flows[cause]), len(processes[cause]), first[cause])
        for cause in flows
    ]
    return sorted(found, key=lambda item: (-item.requests, item.cause))


def read_logs(paths: typing.Iterable[str]) -> typing.Iterator[Line]:
    """Yield the valid lines of files and of the files in folders."""
    for name in paths:
        path = pathlib.Path(name)
        files = sorted(path.iterdir()) if path.is_dir() else [path]
        for file in files:
            with file.open(errors='replace') as opened:
                for text in opened:
                    line = read_line(text)
                    if line is not None:
                        yield line


def format_table(found: list[Loss]) -> str:
    """Return losses as a text table."""
    rows = ['requests  processes  first at   cause; first decided by; its id']
    for loss in found:
        line = loss.first
        flow = line.fields.get('flow', '')
        rows.append(
            f'{loss.requests:8d}  {loss.processes:9d}  {line.at:8.3f}   '
            f'{loss.cause}; {line.process}; {flow}'
        )
    return '\n'.join(rows)


def main() -> int:
    """Print the table; return 1 if no line is valid and in the range."""
    options = docopt.docopt(__doc__)
    since = float(options['--from'] or '-inf')
    until = float(options['--until'] or 'inf')
    lines = [
        line
        for line in read_logs(options['<log>'])
        if since <= line.at <= until
    ]
    if not lines:
        print(
            'no valid log line in these files and this range of time',
            file=sys.stderr,
        )
        return 1
    print(format_table(losses(lines)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
