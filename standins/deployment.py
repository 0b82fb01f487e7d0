"""Start and stop all processes of a deployment on this machine."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

#: Keys for demos and tests only, in hexadecimal.
SEAL_KEY = '00112233445566778899aabbccddeeff'
HASH_KEY = 'ffeeddccbbaa99887766554433221100'
#: Port of the admin pages on each agent's and balancer's own address.
ADMIN_PORT = 5900
BALANCER_PEER_PORT = 5700
BALANCER_LISTEN_PORT = 5600
#: Seconds in which a process must become ready.
READY_TIMEOUT_S = 20.0


class Ports(typing.NamedTuple):
    """Ports of the stand-ins on 127.0.0.1."""

    platform: int
    fabric_control: int
    fabric_inside: int


def get_json(url: str, *, timeout_s: float = 2.0) -> typing.Any:
    """Return the JSON at a URL, or None if the request fails."""
    try:
        with urllib.request.urlopen(url, timeout=timeout_s) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, OSError, ValueError):
        return None


def send_body(
    url: str, body: typing.Any, *, method: str = 'PUT'
) -> typing.Any:
    """Send a body and return the JSON of the answer, or None if empty.

    :param body: bytes as they are; anything else is sent as JSON.
    """
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=5) as answer:
        content = answer.read()
    return json.loads(content) if content else None


class Deployment:
    """The processes for a register and rules, and their stand-ins.

    :ivar published: Unix seconds at which each revision was published.
    :ivar balancers: number of balancers started so far.
    """

    def __init__(
        self,
        register: dict[str, typing.Any],
        rules: dict[str, typing.Any],
        *,
        folder: pathlib.Path,
        ports: Ports,
        network: int,
        seed: int = 1,
        service_s: float = 0.02,
        delay_s: float = 0.0045,
    ) -> None:
        """Describe a deployment; :meth:`start` starts it.

        :param folder: for logs and records; old ones are deleted.
        :param network: N in the addresses of balancers, 127.N.9.M.
        :param service_s: mean service time of one request.
        :param delay_s: one-way delay between callers and system.
        """
        self.register = register
        self.rules = rules
        self.folder = folder
        self.ports = ports
        self.network = network
        self.seed = seed
        self.service_s = service_s
        self.delay_s = delay_s
        self.processes: dict[str, subprocess.Popen] = {}
        self.published: dict[int, float] = {}
        self.balancers = 0
        folder.mkdir(parents=True, exist_ok=True)
        for stale in folder.glob('*.log*'):
            stale.unlink()
        for stale in folder.glob('*.record'):
            stale.unlink()

    @property
    def platform(self) -> str:
        """Return the URL of the configuration service."""
        return f'http://127.0.0.1:{self.ports.platform}'

    def spawn(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a process; write its output to ``<name>.log``."""
        log = open(self.folder / f'{name}.log', 'ab')
        process = subprocess.Popen(
            arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.processes[name] = process
        return process

    def start(self, *, balancers: int = 3) -> None:
        """Start all processes and wait until they are ready."""
        self.start_platform()
        self.publish('register', self.register)
        self.publish('rules', self.rules)
        for instance in self.register['instances']:
            self.start_server(instance)
            self.start_agent(instance)
        for _ in range(balancers):
            self.start_balancer()
        self.start_fabric()
        self.wait_ready(list(self.admin_urls()))
        time.sleep(1.0)

    def start_platform(self) -> None:
        """Start the configuration service."""
        self.spawn(
            'platform',
            sys.executable,
            '-m',
            'standins.platform',
            str(self.ports.platform),
        )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while get_json(f'{self.platform}/control') is None:
            if time.monotonic() > deadline:
                raise RuntimeError(
                    'the configuration service did not answer in time'
                )
            time.sleep(0.05)

    def start_fabric(self) -> None:
        """Start the fabric."""
        services = [
            f'{item["address"]}:{item["port"]}'
            for item in self.rules['services']
        ]
        options = {
            'services': services,
            'inside': f'127.0.0.1:{self.ports.fabric_inside}',
            'control_port': self.ports.fabric_control,
            'platform': self.platform,
            'faults': {'delay_s': self.delay_s},
            'seed': self.seed,
        }
        self.spawn(
            'fabric',
            sys.executable,
            '-m',
            'standins.fabric',
            json.dumps(options),
        )

    def set_faults(self, **faults: float) -> None:
        """Make the fabric drop, duplicate, reorder or delay packets."""
        body = {'delay_s': self.delay_s, **faults}
        send_body(
            f'http://127.0.0.1:{self.ports.fabric_control}/control', body
        )

    def services_of(self, instance: str) -> list[dict[str, typing.Any]]:
        """Return the services of which an instance is a target."""
        return [
            service
            for service in self.rules['services']
            if instance in {item['instance'] for item in service['targets']}
        ]

    def start_server(self, instance: dict[str, typing.Any]) -> None:
        """Start an instance's backend servers, one for each service."""
        for service in self.services_of(instance['name']):
            port = next(
                item['port']
                for item in service['targets']
                if item['instance'] == instance['name']
            )
            options = {
                'name': instance['name'],
                'service': service['name'],
                'slots': instance['slots'],
                'service_s': self.service_s,
                'seed': self.seed + len(self.processes),
                'log': str(self.folder / f'{instance["name"]}.log.ran'),
                'host': instance['address'],
                'port': port,
            }
            self.spawn(
                f'server-{instance["name"]}',
                sys.executable,
                '-m',
                'standins.server',
                json.dumps(options),
            )

    def _common_arguments(
        self, name: str, data_centre: str, address: str, peer_port: int
    ) -> list[str]:
        return [
            'run',
            f'--name={name}',
            f'--data-centre={data_centre}',
            f'--peer={address}:{peer_port}',
            f'--admin={address}:{ADMIN_PORT}',
            f'--platform={self.platform}',
            f'--seal-keys={SEAL_KEY}',
            f'--hash-key={HASH_KEY}',
        ]

    def start_agent(self, instance: dict[str, typing.Any]) -> None:
        """Start the agent of an instance and list it."""
        name = instance['name']
        self.spawn(
            f'agent-{name}',
            sys.executable,
            '-m',
            'teaseldock_agent.command',
            *self._common_arguments(
                name,
                instance['data_centre'],
                instance['address'],
                instance['peer_port'],
            ),
            f'--fabric=127.0.0.1:{self.ports.fabric_inside}',
        )
        self.list_instance(
            name,
            'agent',
            instance['data_centre'],
            instance['address'],
            instance['peer_port'],
        )

    def start_balancer(self) -> str:
        """Start another balancer, list it, and return its name."""
        self.balancers += 1
        name = f'balancer-{self.balancers}'
        centres = self.register['data_centres']
        centre = centres[self.balancers % len(centres)]['name']
        address = self.balancer_address(name)
        self.spawn(
            name,
            sys.executable,
            '-m',
            'teaseldock_balancer.command',
            *self._common_arguments(name, centre, address, BALANCER_PEER_PORT),
            f'--listen={address}:{BALANCER_LISTEN_PORT}',
        )
        self.list_instance(
            name, 'balancer', centre, address, BALANCER_PEER_PORT
        )
        return name

    def stop_balancer(self, name: str) -> None:
        """Stop a balancer: list it as leaving, then send SIGTERM."""
        self.list_instance(
            name,
            'balancer',
            self.register['data_centres'][0]['name'],
            self.balancer_address(name),
            BALANCER_PEER_PORT,
            leaving=True,
        )
        self.signal(name, signal.SIGTERM)

    def balancer_address(self, name: str) -> str:
        """Return the address of a balancer."""
        return f'127.{self.network}.9.{name.rsplit("-", 1)[1]}'

    def list_instance(
        self,
        name: str,
        role: str,
        data_centre: str,
        address: str,
        port: int,
        *,
        leaving: bool = False,
    ) -> None:
        """Add an instance to the live list, or change its entry."""
        entry = {
            'name': name,
            'role': role,
            'data_centre': data_centre,
            'address': address,
            'port': port,
            'listen': [address, BALANCER_LISTEN_PORT],
            'leaving_since': int(time.time() * 1000) if leaving else 0,
        }
        send_body(f'{self.platform}/v1/instances', entry)

    def unlist(self, name: str) -> None:
        """Remove an instance from the live list."""
        send_body(
            f'{self.platform}/v1/instances?name={name}', b'', method='DELETE'
        )

    def publish(self, key: str, content: typing.Any) -> int:
        """Publish a document and return its revision."""
        at = time.time()
        text = content if isinstance(content, bytes) else None
        answer = send_body(
            f'{self.platform}/v1/documents/{key}?publisher=demo',
            text if text is not None else json.dumps(content).encode(),
        )
        self.published[answer['revision']] = at
        return answer['revision']

    def set_platform(self, **order: typing.Any) -> None:
        """Change the mode of the configuration service or its list lag."""
        send_body(f'{self.platform}/control', order)

    def admin_urls(self) -> dict[str, str]:
        """Return the admin URL of each running agent and balancer, by name."""
        urls = {}
        for instance in self.register['instances']:
            if self.is_running(f'agent-{instance["name"]}'):
                address = instance['address']
                urls[instance['name']] = f'http://{address}:{ADMIN_PORT}'
        for name in self.processes:
            if name.startswith('balancer-') and self.is_running(name):
                address = self.balancer_address(name)
                urls[name] = f'http://{address}:{ADMIN_PORT}'
        return urls

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def wait_ready(self, names: list[str]) -> None:
        """Wait until processes are ready."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        urls = self.admin_urls()
        for name in names:
            while True:
                status = get_json(f'{urls[name]}/status')
                if status and status['ready']:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f'{name} did not become ready in time')
                time.sleep(0.05)

    def statuses(self) -> dict[str, typing.Any]:
        """Return the status of each running process that answers."""
        found = {}
        for name, url in self.admin_urls().items():
            status = get_json(f'{url}/status')
            if status is not None:
                found[name] = status
        return found

    def in_force_seconds(self) -> float:
        """Return the longest time until a revision was in force anywhere.

        It reads the audit trail of each process. Records that add instances
        are left out: a process writes them when it loads, at its start,
        revisions that were published earlier.
        """
        longest = 0.0
        for url in self.admin_urls().values():
            for record in get_json(f'{url}/audit') or []:
                at = self.published.get(record['revision'])
                if at is None or record['outcome'] != 'in force':
                    continue
                if record['detail'].startswith('+instances'):
                    continue
                longest = max(longest, record['in_force_at'] - at)
        return longest

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its exit."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> None:
        """Kill all processes and wait for their exit."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def load_example(name: str) -> tuple[dict, dict]:
    """Return register and rules of an example deployment."""
    folder = pathlib.Path(__file__).parent.parent / 'examples' / name
    return (
        json.loads((folder / 'register.json').read_text()),
        json.loads((folder / 'rules.json').read_text()),
    )
