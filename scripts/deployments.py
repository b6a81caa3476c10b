"""The two deployments: their services, targets and rules, and the settings,
release notes and load plans generated from them.

Run as a program, it writes both in full size to examples/.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
from collections.abc import Iterable

SLOTS = 6
CONNECTION_LIMIT = 330


@dataclasses.dataclass(frozen=True)
class Rule:
    """Sends one kind of traffic to a service."""

    name: str
    service: str
    path: str
    methods: tuple[str, ...]
    traffic_class: str
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and the number of its targets in full size."""

    name: str
    targets: int


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The system of one user: host, failure domains, services and rules."""

    name: str
    host: str
    domains: tuple[str, ...]
    services: tuple[Service, ...]
    rules: tuple[Rule, ...]
    # Rate of probes that a target receives from all VMs together.
    probes_per_second: float
    # First three octets of the addresses in examples/.
    example_network: str

    def scaled(self, share: float) -> Deployment:
        """Returns the deployment with this share of the targets, but at least 2
        of each service."""
        services = tuple(
            dataclasses.replace(s, targets=max(2, round(s.targets * share)))
            for s in self.services)
        return dataclasses.replace(self, services=services)


HANOI = Deployment(
    name="hanoi",
    host="quiz.hanoi.example",
    domains=("hanoi-a", "hanoi-b", "hanoi-c"),
    services=(Service("inventory", 17), Service("booking", 6),
              Service("records", 13)),
    rules=(
        Rule("availability", "inventory", "/kits", ("GET",), "interactive",
             True),
        Rule("bookings", "booking", "/bookings", ("POST",), "transactional",
             False),
        Rule("deposits", "booking", "/deposits", ("POST",), "transactional",
             False),
        Rule("scores", "records", "/scores", ("GET",), "bulk", True),
    ),
    probes_per_second=2.0,
    example_network="10.1.0")

KUALA_LUMPUR = Deployment(
    name="lestari",
    host="shop.lestari.example",
    domains=("lestari-a", "lestari-b", "lestari-c"),
    services=(Service("catalogue", 14), Service("orders", 7),
              Service("proofs", 15)),
    rules=(
        Rule("lookups", "catalogue", "/catalogue", ("GET",), "interactive",
             True),
        Rule("orders", "orders", "/orders", ("POST",), "transactional", False),
        Rule("proofs", "proofs", "/proofs", ("GET",), "bulk", True),
        Rule("stock", "proofs", "/stock", ("GET",), "interactive", True),
    ),
    probes_per_second=0.2,
    example_network="10.2.0")

DEPLOYMENTS = {d.name: d for d in (HANOI, KUALA_LUMPUR)}


@dataclasses.dataclass(frozen=True)
class TargetPlacement:
    """The address and failure domain of a target."""

    name: str
    service: str
    address: str
    domain: str


@dataclasses.dataclass(frozen=True)
class VmPlacement:
    """The address and failure domain of a VM."""

    name: str
    domain: str
    ip: str

    @property
    def callers(self) -> str:
        return f"{self.ip}:8080"

    @property
    def forward(self) -> str:
        return f"{self.ip}:8081"

    @property
    def peers(self) -> str:
        return f"{self.ip}:8082"

    @property
    def operators(self) -> str:
        return f"{self.ip}:8083"


def place_targets(deployment: Deployment, network: str,
                  first_host: int) -> list[TargetPlacement]:
    """Assigns each target its own address in a /24 network, and the failure
    domains in turn."""
    placements: list[TargetPlacement] = []
    for service in deployment.services:
        for index in range(service.targets):
            domain = deployment.domains[index % len(deployment.domains)]
            address = f"{network}.{first_host + len(placements)}:8000"
            placements.append(TargetPlacement(f"{service.name}-{index + 1}",
                                              service.name, address, domain))
    return placements


def place_vms(deployment: Deployment, network: str, count: int,
              first_host: int) -> list[VmPlacement]:
    """Assigns each VM its own address in a /24 network, and the failure domains
    in turn."""
    domains = deployment.domains
    return [VmPlacement(f"{domains[i % len(domains)]}-{i // len(domains) + 1}",
                        domains[i % len(domains)],
                        f"{network}.{first_host + i}")
            for i in range(count)]


SEED_PEERS = 6


def seed_peers(vm: VmPlacement, vms: list[VmPlacement]) -> str:
    """Returns up to SEED_PEERS peers, of different failure domains, as a YAML
    list."""
    others = [f'"{other.peers}"' for other in vms if other.name != vm.name]
    return f"[{', '.join(others[:SEED_PEERS])}]"


def vm_settings(deployment: Deployment, vm: VmPlacement, vms: list[VmPlacement],
                platform: str, threads: int = 1, level: str = "info") -> str:
    """Returns the content of a VM's settings file."""
    return (
        f"vm:\n"
        f"  name: {vm.name}\n"
        f"  failure_domain: {vm.domain}\n"
        f"  deployment: {deployment.name}\n"
        f"  seed_peers: {seed_peers(vm, vms)}\n"
        f"listen:\n"
        f"  callers: \"{vm.callers}\"\n"
        f"  forward: \"{vm.forward}\"\n"
        f"  peers: \"{vm.peers}\"\n"
        f"  operators: \"{vm.operators}\"\n"
        f"platform: {{address: \"{platform}\"}}\n"
        f"request_path: {{threads: {threads}}}\n"
        f"logs: {{level: {level}}}\n")


def _flow_list(items: Iterable[dict]) -> str:
    """Returns YAML list entries, each a flow mapping on one line."""
    lines = []
    for item in items:
        pairs = ", ".join(
            f"{key}: {json.dumps(value) if not _is_plain(value) else value}"
            for key, value in item.items())
        lines.append(f"    - {{{pairs}}}\n")
    return "".join(lines)


def _is_plain(value: object) -> bool:
    return isinstance(value, str) and \
        value.replace("_", "").replace("-", "").isalnum()


def service_items(deployment: Deployment, policy: str,
                  **overrides: object) -> list[dict]:
    """Returns the entries of the services in a release note."""
    return [{"name": s.name, "choice_policy": policy,
             "probes_per_second": deployment.probes_per_second, **overrides}
            for s in deployment.services]


def release_note(note_id: str, base_version: int, comment: str,
                 action: str, services: list[dict],
                 targets: Iterable[TargetPlacement] = (),
                 rules: Iterable[Rule] = (), host: str = "") -> str:
    """Returns a release note that adds or changes these objects."""
    target_items = [
        {"name": t.name, "service": t.service, "address": t.address,
         "failure_domain": t.domain, "slots": SLOTS,
         "connection_limit": CONNECTION_LIMIT} for t in targets]
    rule_items = [
        {"name": r.name, "host": host, "path_prefix": r.path,
         "methods": list(r.methods), "service": r.service,
         "class": r.traffic_class, "idempotent": r.idempotent}
        for r in rules]
    text = (f"note:\n  id: {note_id}\n  base_version: {base_version}\n"
            f"  comment: \"{comment}\"\n{action}:\n")
    for name, items in (("services", services), ("targets", target_items),
                        ("rules", rule_items)):
        if items:
            text += f"  {name}:\n{_flow_list(items)}"
    return text


def first_note(deployment: Deployment, targets: list[TargetPlacement],
               policy: str = "home_dispatch", **overrides: object) -> str:
    """Returns the release note that sets up the entire deployment."""
    return release_note(f"{deployment.name}-first", 0, "first release", "add",
                        service_items(deployment, policy, **overrides),
                        targets, deployment.rules, deployment.host)


def stream(deployment: Deployment, rule_name: str, rate: float,
           **fields: object) -> dict:
    """Returns the load-plan stream for the calls of one rule."""
    rule = next(r for r in deployment.rules if r.name == rule_name)
    return {"name": rule.name, "host": deployment.host,
            "service": rule.service,
            "path": f"{rule.path}/7", "method": rule.methods[0],
            "idempotent": rule.idempotent, "rate": rate, **fields}


def write_examples(folder: pathlib.Path) -> None:
    """Writes the VMs' settings and the first release notes of both
    deployments."""
    for deployment in DEPLOYMENTS.values():
        directory = folder / deployment.name
        (directory / "vms").mkdir(parents=True, exist_ok=True)
        network = deployment.example_network
        targets = place_targets(deployment, network, first_host=10)
        (directory / "first-release.yaml").write_text(
            first_note(deployment, targets))
        vms = place_vms(deployment, network, 24, first_host=100)
        for vm in vms:
            (directory / "vms" / f"{vm.name}.yaml").write_text(
                vm_settings(deployment, vm, vms, f"{network}.5:9000",
                            threads=2))


if __name__ == "__main__":
    write_examples(pathlib.Path(__file__).resolve().parent.parent / "examples")
