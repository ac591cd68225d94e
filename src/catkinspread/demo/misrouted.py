"""Explains packets that reach an upstream which does not hold their flow."""

from typing import TYPE_CHECKING

from catkinspread.emulator import UnknownFlowPacket
from catkinspread.instance import Flow, InstanceCore
from catkinspread.model import SLOT_COUNT

if TYPE_CHECKING:
    from catkinspread.demo.site import Site


def explain_misrouted_packet(site: "Site", upstream: str, packet: UnknownFlowPacket) -> str:
    """Returns what the upstreams and instances know of the flow of a packet, at this moment.

    Args:
        site: The deployment.
        upstream: Name of the upstream that got the packet.
        packet: The packet.
    """
    cores = {name: instance.core for name, instance in site.instances.items()}
    flow = _find_flow(list(cores.values()), packet.flow)
    sender = site.find_instance(packet.sender)
    caller = f"{flow.service} from {flow.caller}" if flow else "a caller that no instance knows"
    lines = [
        f"{upstream} got {packet.kind} of flow {packet.flow:016x} ({caller}) from {sender}"
        f" at {packet.at_ms} ms and does not hold it"
    ]
    for name, model in site.upstreams.items():
        if packet.flow in model.flows or packet.flow in model.closed:
            state = "holds" if packet.flow in model.flows else "has closed"
            age_ms = packet.at_ms - model.opened_at_ms.get(packet.flow, packet.at_ms)
            lines.append(f"  {name} {state} it, opened {age_ms} ms before")
    if flow is not None:
        lines += [f"  {name}: {_explain_routing(core, flow)}" for name, core in cores.items()]
    return "\n".join(lines)


def _find_flow(cores: list[InstanceCore], flow_hash: int) -> Flow | None:
    found = (core.packets.flows.find(flow_hash) for core in cores)
    return next((flow for flow in found if flow is not None), None)


def _explain_routing(core: InstanceCore, flow: Flow) -> str:
    """Returns where an instance routes a flow, and why."""
    configuration = core.state.configuration
    table = configuration.slot_tables.get(flow.service)
    if table is None:
        return f"version {configuration.version}, service unknown"
    slot = flow.flow_hash % SLOT_COUNT
    owner = core.state.router.owner
    seen = core.packets.flows.find(flow.flow_hash)
    parts = [
        f"version {configuration.version}",
        f"base {table.bases[slot].find_upstream(flow.flow_hash)}",
        f"pin {owner.pins.find(flow.service, flow.flow_hash) or 'none'}",
        f"last sent to {seen.upstream or 'none'} at {seen.seen_at_ms} ms" if seen else "not seen",
    ]
    batch = owner.batches.find(flow.service, slot)
    transition = table.transitions.get(slot)
    if transition is not None and batch is not None:
        acting = batch.acting_member.instance if batch.acting_member else "none"
        parts.append(
            f"target {transition.target or 'none'}, {batch.phase.value}, acting member {acting}"
        )
    return ", ".join(parts)
