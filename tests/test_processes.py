"""Test the real programs as processes, under traffic and failures."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing

import pytest

from standins import demo
from standins import deployment
from standins import judge
from teaseldock import flow
from teaseldock import proxy_header

#: Seed of network faults, service times and pauses of callers. The scheduling
#: of the processes by the operating system is not seeded.
SEED = int(os.environ.get('PROCESSES_SEED', '1'))
NETWORK = 41
PORTS = deployment.Ports(5520, 5521, 5522)
COMMAND = [sys.executable, '-m', 'teaseldock_agent.command']


def small_inventory() -> tuple[dict, dict]:
    """Return register and rules of four dispatch and two ticket targets."""
    instances = []
    services = []
    for index, (name, count) in enumerate((('dispatch', 4), ('tickets', 2))):
        targets = []
        for number in range(1, count + 1):
            instance = f'{name}-{number}'
            instances.append(
                {
                    'name': instance,
                    'data_centre': f'dc-{number % 2}',
                    'address': f'127.{NETWORK}.{index + 1}.{number}',
                    'peer_port': 5700,
                    'slots': 2,
                    'connections': 2000,
                }
            )
            targets.append({'instance': instance, 'port': 5683, 'weight': 1.0})
        services.append(
            {
                'name': name,
                'address': f'127.{NETWORK}.0.{index + 1}',
                'port': 5683,
                'targets': targets,
                'request_classes': [],
            }
        )
    centres = [{'name': f'dc-{n}', 'region': 'r'} for n in range(2)]
    return (
        {'data_centres': centres, 'instances': instances},
        {'services': services, 'leaving': []},
    )


@pytest.fixture
def dep(tmp_path: pathlib.Path) -> typing.Iterator[deployment.Deployment]:
    """Start a deployment, and stop it after the test."""
    register, rules = small_inventory()
    built = deployment.Deployment(
        register,
        rules,
        folder=tmp_path,
        ports=PORTS,
        network=NETWORK,
        seed=SEED,
        service_s=0.05,
    )
    try:
        built.start(balancers=2)
        yield built
    finally:
        built.stop()


def start_callers(dep: deployment.Deployment, seconds: float) -> list[str]:
    """Start callers that send orders, feeds and scans.

    :param seconds: time for which callers send requests.
    :returns: process names of the callers.
    """
    started = []
    for service, kind, callers, pause_s in (
        ('dispatch', 'orders', 10, 0.1),
        ('dispatch', 'feed', 8, 1.0),
        ('tickets', 'scans', 4, 0.3),
    ):
        address = next(
            f'{item["address"]}:{item["port"]}'
            for item in dep.rules['services']
            if item['name'] == service
        )
        options = {
            'service': service,
            'kind': kind,
            'callers': callers,
            'pause_s': pause_s,
            'seconds': seconds,
            'address': address,
            'seed': SEED,
            'record': str(dep.folder / f'{service}-{kind}.record'),
        }
        name = f'callers-{service}-{kind}'
        dep.spawn(
            name, sys.executable, '-m', 'standins.caller', json.dumps(options)
        )
        started.append(name)
    return started


def wait_and_judge(
    dep: deployment.Deployment, callers: list[str]
) -> dict[str, typing.Any]:
    """Wait until the callers have ended, and return the verdict."""
    for name in callers:
        dep.processes[name].wait(timeout=60)
    return judge.judge(dep.folder, dep.rules)


def assert_no_violations(verdict: dict[str, typing.Any]) -> None:
    """Check the invariants that hold in every history."""
    assert verdict['requests'] > 50
    broken = {
        invariant: verdict[invariant]
        for invariant in ('misrouted', 'ran_twice', 'untrue_refusals')
        if verdict[invariant]
    }
    problems = '\n'.join(json.dumps(item) for item in verdict['problems'])
    assert not broken, f'{broken}\n{problems}'


def test_planned_changes_cut_nothing(dep: deployment.Deployment) -> None:
    """Drain, SIGTERM of agent and balancer, and outage break no flow."""
    callers = start_callers(dep, 9.0)
    time.sleep(1.0)
    dep.rules['leaving'] = ['dispatch-1']
    dep.publish('rules', dep.rules)
    time.sleep(1.5)
    dep.signal('agent-dispatch-2', signal.SIGTERM)
    time.sleep(0.5)
    dep.set_platform(mode='down')
    dep.stop_balancer('balancer-1')
    time.sleep(4.0)
    dep.set_platform(mode='up')
    verdict = wait_and_judge(dep, callers)
    dep.processes['balancer-1'].wait(timeout=20)
    assert_no_violations(verdict)
    assert not dep.is_running('agent-dispatch-2')
    assert not dep.is_running('balancer-1')
    assert dep.processes['agent-dispatch-2'].returncode == 0
    assert verdict['outcome_unknown'] == 0
    assert verdict['broken_flows'] == 0, verdict['problems']


def test_kills_and_pauses_under_a_bad_network(
    dep: deployment.Deployment,
) -> None:
    """No request runs twice despite kills, pauses and packet faults.

    Guards against a pour order that is executed twice: while orders are in
    progress, their holder is killed, another holder is suspended and resumed,
    and the fabric drops, duplicates, reorders and delays packets.
    """
    dep.set_faults(drop=0.02, duplicate=0.2, reorder=0.2, late_s=1.0)
    callers = start_callers(dep, 12.0)
    time.sleep(2.0)
    dep.kill('agent-dispatch-1')
    dep.signal('agent-dispatch-2', signal.SIGSTOP)
    time.sleep(1.0)
    dep.start_agent(dep.register['instances'][0])
    dep.kill('balancer-1')
    dep.unlist('balancer-1')
    time.sleep(5.0)
    dep.signal('agent-dispatch-2', signal.SIGCONT)
    dep.kill('server-dispatch-3')
    time.sleep(2.0)
    dep.start_server(dep.register['instances'][2])
    verdict = wait_and_judge(dep, callers)
    assert_no_violations(verdict)
    assert verdict['answered'] > 50
    assert verdict['answered_without_run'] == 0


def test_a_frozen_server_is_left_alone(dep: deployment.Deployment) -> None:
    """A suspended server gets no new requests, and none runs twice.

    Guards against requests that queue for a server which does not answer
    although its health page reports no problem, or that run twice when it
    resumes. The server is suspended with requests in its socket buffer,
    callers get "outcome unknown", then it resumes and runs the requests.
    """
    callers = start_callers(dep, 10.0)
    time.sleep(1.5)
    dep.signal('server-dispatch-1', signal.SIGSTOP)
    time.sleep(7.0)
    status = dep.statuses()['dispatch-1']
    assert not status['targets'][0]['server_up']
    dep.signal('server-dispatch-1', signal.SIGCONT)
    verdict = wait_and_judge(dep, callers)
    assert_no_violations(verdict)
    assert verdict['answered'] > 200
    assert verdict['outcome_unknown'] <= 20
    assert not [p for p in verdict['problems'] if p['kind'] == 'feed']


def test_bad_packets_are_counted_and_unanswered(
    dep: deployment.Deployment,
) -> None:
    """Invalid datagrams are dropped, counted by reason and not answered."""
    balancer = (dep.balancer_address('balancer-1'), 5600)
    agent = (dep.register['instances'][0]['address'], 5700)
    key = flow.flow_key(
        flow.Endpoint('192.0.2.1', 9),
        flow.Endpoint(f'127.{NETWORK}.0.9', 5683),
    )
    spoofed = proxy_header.pack_internal(
        proxy_header.Packet(key, 1, 1, 0, 0, b''), key=b'wrong key' * 2
    )
    plain = proxy_header.pack_plain(key, b'x')
    noise = random.Random(3)
    datagrams = [b'', b'x', plain[:20], b'z' * 60, plain, spoofed]
    datagrams.append(plain[:12] + b'\x11' + plain[13:])
    datagrams.append(plain[:13] + b'\x21' + plain[14:])
    datagrams += [noise.randbytes(noise.randrange(1, 200)) for _ in range(200)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.settimeout(1.0)
        for datagram in datagrams:
            sender.sendto(datagram, balancer)
            sender.sendto(datagram, agent)
        with pytest.raises(TimeoutError):
            sender.recv(100)
    statuses = dep.statuses()
    kinds = statuses['balancer-1']['dropped_datagrams']
    for kind in ('short', 'unsigned', 'version', 'family', 'tlv'):
        assert kinds[f'from_fabric_{kind}'] >= 1, kinds
    assert statuses['balancer-1']['dropped']['unknown_service'] == 1
    refused = statuses['dispatch-1']['dropped_datagrams']
    assert sum(refused.values()) == len(datagrams)
    assert len(statuses) == 8


def test_command_line(dep: deployment.Deployment) -> None:
    """All commands work, and each kind of error has its exit code."""
    address = dep.register['instances'][0]['address']
    admin = f'--admin={address}:{deployment.ADMIN_PORT}'

    def call(*words: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [*COMMAND, *words], capture_output=True, text=True, timeout=30
        )

    status = json.loads(call('status', admin).stdout)
    assert status['ready'] and status['revision_in_force'] == 2
    audit = json.loads(call('audit', admin).stdout)
    assert {'register', 'rules'} <= {record['key'] for record in audit}
    service = f'127.{NETWORK}.0.1:5683'
    explained = json.loads(
        call('explain', '192.0.2.1:9', service, admin).stdout
    )
    assert explained['service'] == 'dispatch'
    assert explained['owner'] == explained['ranked'][0]['instance']
    folder = demo.__file__.replace('standins/demo.py', 'examples/prairie')
    documents = [f'{folder}/register.json', f'{folder}/rules.json']
    assert call('check', *documents).returncode == 0
    assert call('check', documents[1]).returncode == 5
    assert call('check', '/nonexistent/rules.json').returncode == 4
    assert call('status', '--admin=127.0.0.1:1').returncode == 8
    assert call('run', '--name=A').returncode == 3
    assert call('fly').returncode == 2
    taken = call(
        'run',
        '--name=x',
        '--data-centre=dc-0',
        f'--peer={address}:5700',
        '--admin=127.0.0.1:1',
        f'--platform={dep.platform}',
        f'--seal-keys={deployment.SEAL_KEY}',
        f'--hash-key={deployment.HASH_KEY}',
        '--fabric=127.0.0.1:1',
    )
    assert taken.returncode == 7
    assert 'TD-401' in taken.stderr
    metrics = deployment.urllib.request.urlopen(
        f'http://{address}:{deployment.ADMIN_PORT}/metrics'
    ).read()
    assert b'teaseldock_agent_target_flows{service="dispatch"}' in metrics
