"""Tell from processes' logs what callers lost, by cause.

Usage:
  explain [--from=<s>] [--until=<s>] <log>...

Options:
  --from=<s>   Leave out lines before this steady or simulated second.
  --until=<s>  Leave out lines after it.

Each <log> is a file of lines as processes write them, or a folder of such
files. A number and a name may stand before the JSON of a line.
"""

from __future__ import annotations

import collections
import json
import pathlib
import sys
import typing

import docopt

#: Copy of an opening beyond which its caller had waited for an answer.
_FIRST_COPY = 0
#: Milliseconds that finding a flow may take unnoticed: callers repeat their
#: data after 200 ms.
_FOUND_LATE_MS = 200


class Line(typing.NamedTuple):
    """One line of a log.

    :ivar at: the number that stands before the line, or its steady clock.
    """

    at: float
    process: str
    event: str
    fields: dict[str, typing.Any]


class Loss(typing.NamedTuple):
    """Requests that were hurt by one kind of decision.

    :ivar cause: what happened, with the reason that the line gives.
    :ivar requests: how many, by the id of their flow.
    :ivar processes: how many processes decided so.
    :ivar first: the first line of it.
    """

    cause: str
    requests: int
    processes: int
    first: Line


def read_line(text: str) -> Line | None:
    """Return a line of a log, None if it isn't one."""
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
    """Return how a line's decision hurt its request, None if it didn't."""
    fields = line.fields
    if line.event in ('refused', 'request failed', 'given back'):
        return f'{line.event}: {fields.get("why", "")}'
    if line.event in ('flow lost', 'request given up', 'reset kept back'):
        return line.event
    if line.event == 'placed' and fields.get('copy', 0) > _FIRST_COPY:
        return 'opening placed at a repetition only'
    if line.event == 'released':
        late = fields.get('waited_ms', 0) > fields.get('aim_ms', 0)
        return 'waited longer than its objective' if late else None
    if line.event == 'flow found':
        late = fields.get('took_ms', 0) > _FOUND_LATE_MS
        return 'flow found late' if late else None
    return None


def losses(lines: typing.Iterable[Line]) -> list[Loss]:
    """Return what requests lost, the cause with most requests first."""
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
    """Yield the lines of files, and of the files in folders."""
    for name in paths:
        path = pathlib.Path(name)
        files = sorted(path.iterdir()) if path.is_dir() else [path]
        for file in files:
            with file.open(errors='replace') as opened:
                for text in opened:
                    line = read_line(text)
                    if line is not None:
                        yield line


def table(found: list[Loss]) -> str:
    """Return losses as a table in text."""
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
    """Print the table; return 1 if no line could be read."""
    options = docopt.docopt(__doc__)
    since = float(options['--from'] or '-inf')
    until = float(options['--until'] or 'inf')
    lines = [
        line
        for line in read_logs(options['<log>'])
        if since <= line.at <= until
    ]
    if not lines:
        print('no line of a process in these files', file=sys.stderr)
        return 1
    print(table(losses(lines)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
