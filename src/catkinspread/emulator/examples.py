"""Writes the settings files and the first commands of a deployment on loopback."""

import pathlib
import secrets

import msgspec
import zmq

from catkinspread.emulator.deployments import AddressPlan, Deployment
from catkinspread.operations import hash_token


class KeyPair(msgspec.Struct, frozen=True):
    """A CURVE key pair in Z85 form."""

    public: str
    secret: str


def make_key_pair() -> KeyPair:
    """Returns a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


def format_instance_settings(
    deployment: Deployment,
    plan: AddressPlan,
    index: int,
    server: KeyPair,
    client: KeyPair,
    token: str,
) -> str:
    """Returns the settings file of an instance.

    Args:
        deployment: The deployment.
        plan: Loopback ports.
        index: Index of the instance in `deployment.list_instances()`.
        server: Keys of the peer sockets, the same for all instances.
        client: Keys with which instances connect.
        token: Token of the operator of the deployment.
    """
    instances = deployment.list_instances()
    name, data_centre = instances[index]
    fabric, upstream, peer, admin, metrics = plan.instance(index)
    seeds = " ".join(
        f"{other}@{plan.instance(other_index)[2]}"
        for other_index, (other, _) in enumerate(instances)
        if other_index != index
    )
    return f"""[instance]
name = {name}
data_centre = {data_centre}
region = {deployment.region}
fabric_address = {fabric}
fabric_return_address = {plan.fabric_return}
upstream_address = {upstream}
peer_address = {peer}
admin_address = {admin}
metrics_address = {metrics}

[platform]
url = http://{plan.platform}

[peers]
seeds = {seeds}

[keys]
server_public = {server.public}
server_secret = {server.secret}
client_public = {client.public}
client_secret = {client.secret}
accepted_public = {client.public}

[token admin]
sha256 = {hash_token(token)}
team = {deployment.services[0].team}
roles = operator
"""


def format_first_commands(deployment: Deployment, plan: AddressPlan) -> list[str]:
    """Returns the commands that create the data centres, services and upstreams."""
    commands = [
        f'create data-centre {name} region {deployment.region} because "first set-up"'
        for name in deployment.data_centres
    ]
    for service_index, service in enumerate(deployment.services):
        commands.append(
            f"create service {service.name} at {plan.service(service_index)}"
            f' team {service.team} priority {service.priority} because "first set-up"'
        )
        for index in range(service.upstream_count):
            data_centre = deployment.data_centres[index % len(deployment.data_centres)]
            commands.append(
                f"add upstream {service.upstream_prefix}-{index + 1} to {service.name}"
                f" in {data_centre} at {plan.upstream(service_index, index)}"
                ' because "first set-up"'
            )
    return commands


def write_example(deployment: Deployment, plan: AddressPlan, directory: pathlib.Path) -> list[str]:
    """Writes all files of a deployment and returns their names.

    The keys and the token are new in each run, so that installations share no secret.
    """
    directory.mkdir(parents=True, exist_ok=True)
    server, client = make_key_pair(), make_key_pair()
    token = secrets.token_urlsafe()
    files = {
        f"{name}.ini": format_instance_settings(deployment, plan, index, server, client, token)
        for index, (name, _) in enumerate(deployment.list_instances())
    }
    files["token.txt"] = token + "\n"
    files["first-commands.txt"] = "\n".join(format_first_commands(deployment, plan)) + "\n"
    for name, text in files.items():
        (directory / name).write_text(text, encoding="utf-8")
    return sorted(files)
