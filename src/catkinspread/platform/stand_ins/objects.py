"""Encodes records of the deployment as the operator and upstreams write them to the store."""

import socket

from catkinspread.deployment import RequestKind, RoutingConfiguration, UpstreamRecord

_REQUEST_KINDS = {
    RequestKind.IDEMPOTENT: "safe",
    RequestKind.NON_IDEMPOTENT: "unsafe",
    RequestKind.DOWNLOAD: "download",
}

# The version of the upstream's software, which instances only check for its type.
_SOFTWARE_VERSION = "v1"


def encode_upstream_name(key: int) -> str:
    """Returns the name whose hexadecimal digits make the key of an upstream."""
    return f"{key:016x}"


def encode_upstream(record: UpstreamRecord) -> dict[str, object]:
    """Returns the report of an upstream."""
    return {
        "service": record.service,
        "address": f"{record.host}:{record.port}",
        "zone": record.data_centre,
        "version": _SOFTWARE_VERSION,
        "state": "draining" if record.is_draining else "ready",
        "slots": record.work_slots,
        "cold_left_ms": record.cold_remaining_ms,
        "born": record.born_ms,
        "seq": record.report_number,
    }


def encode_configuration(configuration: RoutingConfiguration) -> dict[str, object]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": configuration.version,
        "routes": [
            {
                "name": route.name,
                "host": socket.inet_ntoa(route.address.ip.to_bytes(4, "big")),
                "path_prefix": f"/{route.address.port}/",
                "kind": _REQUEST_KINDS[route.kind],
                "backends": [
                    {"service": share.service, "weight": share.weight} for share in route.shares
                ],
                "timeout_ms": route.timeout_ms,
                "aim_ms": route.objective_ms,
                "priority": route.priority,
            }
            for route in configuration.routes
        ],
        "services": [
            {
                "name": service.name,
                "max_flows": service.connections_max,
                "cold_per_s": service.cold_rate_per_s,
                "cold_s": service.cold_start_ms / 1_000,
            }
            for service in configuration.services
        ],
        "limits": {"idle_timeout_ms": configuration.idle_timeout_ms},
    }
