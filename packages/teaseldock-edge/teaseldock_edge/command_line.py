"""Parse and run the commands that balancer and agent share."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import typing
import urllib.error
import urllib.parse
import urllib.request

import docopt

from teaseldock import __version__
from teaseldock import configuration
from teaseldock import exceptions
from teaseldock import flow
from teaseldock import table
from teaseldock_edge import logs
from teaseldock_edge import program
from teaseldock_edge import settings

_USAGE = """{summary}

Usage:
  {name} run [options]
  {name} check <document>...
  {name} explain <caller> <service> [<document>...] [options]
  {name} status [options]
  {name} audit [options]
  {name} (-h | --help)
  {name} --version

Commands:
  run      Serve until SIGTERM, then stop gracefully.
  check    Check register and rules together, without starting.
  explain  Show which target a flow would get, why, and at which revision;
           from the given documents, or from the running program.
  status   Print the status of the running program.
  audit    Print the audit trail of the running program.

A document is a file named KEY.json, KEY being register, rules, or a part such
as rules.payroll. Caller and service are host:port.

Options (each also as TEASELDOCK_NAME in the environment):
{options}
  -h, --help                  Show this text.
  --version                   Show the version.

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid setting,
4 invalid document, 5 inconsistent documents, 6 revision, 7 address in use,
8 no answer from the admin address.
"""
_USAGE_EXIT_CODE = 2

Build = typing.Callable[[dict[str, typing.Any]], program.Program]


def _read_documents(paths: list[str]) -> list[configuration.Document]:
    documents = []
    for path in paths:
        try:
            content = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise exceptions.DocumentError(
                path, str(error.strerror), remedy='give a readable file'
            ) from error
        key = pathlib.Path(path).stem
        documents.append(configuration.Document(key, 1, 'file', content))
    return documents


def _check(paths: list[str]) -> None:
    contents = configuration.check_documents(_read_documents(paths))
    print(
        f'ok: {len(contents.instances)} instances, '
        f'{len(contents.services)} services, '
        f'{len(contents.leaving)} leaving'
    )


def _explain_documents(
    arguments: dict[str, typing.Any], hash_key: bytes
) -> dict[str, typing.Any]:
    contents = configuration.check_documents(
        _read_documents(arguments['<document>'])
    )
    key = flow.flow_key(
        _endpoint('<caller>', arguments['<caller>']),
        _endpoint('<service>', arguments['<service>']),
    )
    service = table.Table(contents).service_at(
        flow.packed_service_endpoint(key)
    )
    if service is None:
        return {'revision': 0, 'service': None}
    bucket = flow.bucket_of(key, key=hash_key)
    return {
        'revision': 0,
        'service': service.name,
        'bucket': bucket,
        'owner': service.owner(bucket, contents.leaving),
        'ranked': [
            {
                'instance': name,
                'state': (
                    'leaving by the rules'
                    if name in contents.leaving
                    else 'usable'
                ),
            }
            for name in service.rank(bucket)
        ],
    }


def _endpoint(place: str, text: str) -> flow.Endpoint:
    try:
        return flow.parse_endpoint(text)
    except ValueError as error:
        raise exceptions.SettingError(
            place, f'{text!r} is invalid ({error})', remedy='give host:port'
        ) from error


def _read_setting(
    scope: str, name: str, arguments: dict[str, typing.Any]
) -> typing.Any:
    """Read one setting; placeholders stand for other required settings."""
    given = {f'--{name}': arguments.get(f'--{name}')}
    placeholders = {
        'name': 'x',
        'endpoint': '127.0.0.1:1',
        'url': 'http://x',
        'keys': '00' * 16,
    }
    for setting in settings.for_program(scope):
        if setting.name != name and setting.default is None:
            given[f'--{setting.name}'] = placeholders[setting.kind]
    return settings.read(scope, given, os.environ)[name]


def _get_admin_page(endpoint: flow.Endpoint, path: str) -> typing.Any:
    url = f'http://{endpoint.host}:{endpoint.port}{path}'
    try:
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, OSError, ValueError) as error:
        raise exceptions.AdminError(
            f'--admin {endpoint.host}:{endpoint.port}',
            str(error),
            remedy='check that the program runs and uses this admin address',
        ) from error


def _explain(scope: str, arguments: dict[str, typing.Any]) -> None:
    if arguments['<document>']:
        hash_key = _read_setting(scope, 'hash-key', arguments)[0]
        answer = _explain_documents(arguments, hash_key)
    else:
        query = urllib.parse.urlencode(
            {
                'caller': arguments['<caller>'],
                'service': arguments['<service>'],
            }
        )
        endpoint = _read_setting(scope, 'admin', arguments)
        answer = _get_admin_page(endpoint, f'/explain?{query}')
    print(json.dumps(answer, indent=1))


def _run(scope: str, arguments: dict[str, typing.Any], build: Build) -> None:
    values = settings.read(scope, arguments, os.environ)
    handler = logs.start(values['log-level'])
    for warning in settings.unknown_variable_warnings(scope, os.environ):
        program.LOG.warning(warning)
    try:
        asyncio.run(_build_and_run(values, build))
    finally:
        handler.pop_application()


async def _build_and_run(values: dict[str, typing.Any], build: Build) -> None:
    await build(values).run()


def main(
    scope: str, summary: str, build: Build, argv: list[str] | None = None
) -> int:
    """Run one command and return the exit code.

    :param scope: ``balancer`` or ``agent``.
    :param summary: first line of the help.
    :param build: creates the program from validated settings.
    :param argv: arguments without the program name; default ``sys.argv``.
    :returns: the exit code; the help text lists the codes.
    """
    text = _USAGE.format(
        name=f'teaseldock-{scope}',
        summary=summary,
        options=settings.options_text(scope),
    )
    try:
        arguments = docopt.docopt(text, argv, version=__version__)
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return _USAGE_EXIT_CODE
    try:
        if arguments['run']:
            _run(scope, arguments, build)
        elif arguments['check']:
            _check(arguments['<document>'])
        elif arguments['explain']:
            _explain(scope, arguments)
        else:
            page = '/status' if arguments['status'] else '/audit'
            endpoint = _read_setting(scope, 'admin', arguments)
            print(json.dumps(_get_admin_page(endpoint, page), indent=1))
    except exceptions.TeaseldockError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return 0
