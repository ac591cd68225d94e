"""The two reference deployments with the sizes of `docs/design.md`."""

import msgspec

from catkinspread.model import Endpoint

LOOPBACK = "127.0.0.1"


class ServicePlan(msgspec.Struct, frozen=True):
    """A service of a deployment.

    Attributes:
        name: Name of the service.
        team: Team that owns it.
        priority: Priority of its idempotent requests; 0 is served first.
        upstream_prefix: Upstreams are named with this prefix and a number from 1.
        upstream_count: Number of upstreams.
    """

    name: str
    team: str
    priority: int
    upstream_prefix: str
    upstream_count: int


class Deployment(msgspec.Struct, frozen=True):
    """A deployment of nine instances.

    Attributes:
        name: Name of the deployment.
        region: Region of all its data centres.
        data_centres: Names of the data centres.
        services: Its services.
        link_delay_ms: One-way delay between data centres.
        client_delay_ms: One-way delay between callers and data centres.
        instances_per_data_centre: Number of instances in each data centre.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    link_delay_ms: int
    client_delay_ms: int = 3
    instances_per_data_centre: int = 3

    def list_instances(self) -> list[tuple[str, str]]:
        """Returns name and data centre of each instance."""
        return [
            (f"{data_centre}-{letter}", data_centre)
            for data_centre in self.data_centres
            for letter in "abc"[: self.instances_per_data_centre]
        ]


class AddressPlan(msgspec.Struct, frozen=True):
    """Loopback ports of a deployment, all derived from one number.

    Attributes:
        base_port: First port; about 300 ports after it are used.
    """

    base_port: int

    @property
    def platform(self) -> Endpoint:
        """Address of the stand-in platform."""
        return Endpoint(LOOPBACK, self.base_port)

    @property
    def fabric_return(self) -> Endpoint:
        """Where instances send packets for callers."""
        return Endpoint(LOOPBACK, self.base_port + 1)

    def service(self, index: int) -> Endpoint:
        """Address of a service, by its index in the deployment."""
        return Endpoint(LOOPBACK, self.base_port + 10 + index)

    def upstream(self, service_index: int, index: int) -> Endpoint:
        """Address of an upstream, by the index of its service and its own."""
        return Endpoint(LOOPBACK, self.base_port + 20 + 20 * service_index + index)

    def instance(self, index: int) -> tuple[Endpoint, ...]:
        """Fabric, upstream, peer, admin and metrics address of an instance, by its index."""
        first = self.base_port + 100 + 5 * index
        return tuple(Endpoint(LOOPBACK, port) for port in range(first, first + 5))


KALAHARI = Deployment(
    name="kalahari",
    region="khomas",
    data_centres=("khomas-1", "khomas-2", "khomas-3"),
    services=(
        ServicePlan("recipe-desk", "kalahari", 1, "recipe", 7),
        ServicePlan("plate-vault", "kalahari", 2, "plate", 3),
    ),
    link_delay_ms=5,
)

CONSORTIUM = Deployment(
    name="consortium",
    region="midland",
    data_centres=("brum", "coventry", "leicester"),
    services=(
        ServicePlan("catalogue", "consortium", 1, "catalogue", 7),
        ServicePlan("templates", "consortium", 2, "template", 3),
    ),
    link_delay_ms=4,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (KALAHARI, CONSORTIUM)}
