"""Turns commands into effects of the configuration log.

Compiling is pure: the result depends on the arguments alone. The effects are stored in the
entry, so replicas never compile.
"""

from collections.abc import Callable, Iterable

import msgspec
from expression import Error, Ok, Result

from catkinspread.configuration import (
    DataCentreSet,
    Effect,
    ServiceSet,
    UpstreamSet,
)
from catkinspread.model import (
    Configuration,
    DataCentre,
    DataCentreState,
    Endpoint,
    Service,
    Upstream,
    UpstreamState,
)
from catkinspread.operations import commands
from catkinspread.operations.context import ENDPOINT_QUARANTINE_MS, CompileContext
from catkinspread.operations.errors import InvalidChange, OperationsError, describe_unknown
from catkinspread.operations.moves import (
    plan_moves,
    preview_effects,
    weigh_upstreams,
)
from catkinspread.operations.removals import find_completed_removals


class _Refused(Exception):
    """Carries an error from a step of the compiler to `compile_command`."""

    def __init__(self, error: OperationsError) -> None:
        super().__init__(error.message)
        self.error = error


class _Draft(msgspec.Struct, frozen=True):
    """The change of a command without its slot moves.

    Attributes:
        effects: What is set.
        services: Services whose slots are planned again.
        stepped: Upstreams that gain their slots in steps.
        needs_owner: Whether the change is refused if no live member can own the moved slots.
    """

    effects: tuple[Effect, ...]
    services: tuple[str, ...] = ()
    stepped: frozenset[str] = frozenset()
    needs_owner: bool = True


_Drafter = Callable[[commands.Command, Configuration, CompileContext], _Draft]
_DRAFTERS: dict[type, _Drafter] = {}


def _drafts(command_type: type) -> Callable[[_Drafter], _Drafter]:
    def add(drafter: _Drafter) -> _Drafter:
        _DRAFTERS[command_type] = drafter
        return drafter

    return add


def compile_command(
    command: commands.Command, configuration: Configuration, context: CompileContext
) -> Result[tuple[Effect, ...], OperationsError]:
    """Returns the effects of a command on a configuration.

    Args:
        command: What to change.
        configuration: The current state.
        context: Time, live members and endpoints in quarantine.
    """
    try:
        draft = _DRAFTERS[type(command)](command, configuration, context)
        return Ok(_complete(draft, configuration, context))
    except _Refused as refusal:
        return Error(refusal.error)


def compile_next_step(
    configuration: Configuration, services: Iterable[str], context: CompileContext
) -> tuple[Effect, ...]:
    """Returns the automatic step that continues earlier commands; empty if none is due.

    It completes removals and moves the slots that an earlier entry left for later.

    Args:
        configuration: The current state.
        services: Services to examine.
        context: Live members and the size of steps.
    """
    plan = plan_moves(configuration, services, context)
    effects: list[Effect] = []
    for removal in find_completed_removals(configuration, context.idle_since_ms, context.now_ms):
        # The entry tells the endpoint, so that its quarantine can be read from the entry alone.
        effects += [UpstreamSet(configuration.upstreams[removal.name]), removal]
    return (*effects, *plan.effects)


def _complete(
    draft: _Draft, configuration: Configuration, context: CompileContext
) -> tuple[Effect, ...]:
    after = preview_effects(configuration, draft.effects, context.now_ms)
    plan = plan_moves(after, draft.services, context, draft.stepped)
    if draft.needs_owner and plan.unowned_slots:
        raise _refuse(f"no live instance is known that could own {plan.unowned_slots} moved slots")
    effects = (*draft.effects, *plan.effects)
    final = preview_effects(configuration, effects, context.now_ms)
    names = [
        effect.upstream.name
        for effect in draft.effects
        if isinstance(effect, UpstreamSet) and effect.upstream.state is UpstreamState.REMOVING
    ]
    completed = find_completed_removals(final, {}, context.now_ms)
    return (*effects, *(effect for effect in completed if effect.name in names))


@_drafts(commands.CreateDataCentre)
def _create_data_centre(
    command: commands.CreateDataCentre, configuration: Configuration, _: CompileContext
) -> _Draft:
    if command.name in configuration.data_centres:
        raise _refuse(f"data centre {command.name!r} exists already")
    return _Draft((DataCentreSet(DataCentre(command.name, command.region)),))


@_drafts(commands.CreateService)
def _create_service(
    command: commands.CreateService, configuration: Configuration, context: CompileContext
) -> _Draft:
    if command.name in configuration.services:
        raise _refuse(f"service {command.name!r} exists already")
    _check_endpoint(command.address, command.name, configuration, context)
    team = command.team or context.team
    service = Service(command.name, command.address, team, command.priority)
    return _Draft((ServiceSet(service),))


@_drafts(commands.AddUpstream)
def _add_upstream(
    command: commands.AddUpstream, configuration: Configuration, context: CompileContext
) -> _Draft:
    if command.service not in configuration.services:
        raise _Refused(describe_unknown("service", command.service, configuration.services))
    if command.data_centre not in configuration.data_centres:
        known = configuration.data_centres
        raise _Refused(describe_unknown("data centre", command.data_centre, known))
    if command.name in configuration.upstreams:
        raise _refuse(f"upstream {command.name!r} exists already")
    if command.cold_rate_per_s > command.warm_rate_per_s:
        raise _refuse("cold rate is greater than the warm rate")
    _check_endpoint(command.endpoint, command.service, configuration, context)
    upstream = Upstream(**msgspec.structs.asdict(command))
    return _Draft((UpstreamSet(upstream),), (command.service,), frozenset({command.name}))


@_drafts(commands.DrainUpstream)
def _drain_upstream(
    command: commands.DrainUpstream, configuration: Configuration, _: CompileContext
) -> _Draft:
    upstream = _find_upstream(command.name, configuration)
    if upstream.state is not UpstreamState.ACTIVE:
        raise _refuse(f"upstream {command.name!r} is {upstream.state.value} already")
    return _set_upstream(upstream, configuration, state=UpstreamState.DRAINING)


@_drafts(commands.UndrainUpstream)
def _undrain_upstream(
    command: commands.UndrainUpstream, configuration: Configuration, _: CompileContext
) -> _Draft:
    upstream = _find_upstream(command.name, configuration)
    if upstream.state is UpstreamState.ACTIVE:
        raise _refuse(f"upstream {command.name!r} is not draining")
    return _set_upstream(upstream, configuration, state=UpstreamState.ACTIVE)


@_drafts(commands.RemoveUpstream)
def _remove_upstream(
    command: commands.RemoveUpstream, configuration: Configuration, _: CompileContext
) -> _Draft:
    upstream = _find_upstream(command.name, configuration)
    if upstream.state is UpstreamState.REMOVING:
        raise _refuse(f"upstream {command.name!r} is removing already")
    return _set_upstream(upstream, configuration, state=UpstreamState.REMOVING)


@_drafts(commands.SetWeight)
def _set_weight(
    command: commands.SetWeight, configuration: Configuration, _: CompileContext
) -> _Draft:
    upstream = _find_upstream(command.name, configuration)
    if upstream.weight == command.weight:
        raise _refuse(f"upstream {command.name!r} has weight {command.weight} already")
    return _set_upstream(upstream, configuration, weight=command.weight)


@_drafts(commands.TakeOutDataCentre)
def _take_out_data_centre(
    command: commands.TakeOutDataCentre, configuration: Configuration, _: CompileContext
) -> _Draft:
    data_centre = _find_data_centre(command.name, configuration)
    if data_centre.state is DataCentreState.OUT:
        raise _refuse(f"data centre {command.name!r} is out already")
    others = (item for item in configuration.data_centres.values() if item != data_centre)
    if all(item.state is DataCentreState.OUT for item in others):
        raise _refuse(f"data centre {command.name!r} is the last one that takes traffic")
    # Packets stop by the state alone, so the change must not wait for owners of the slots.
    return _set_data_centre(
        data_centre, configuration, DataCentreState.OUT, frozenset(), needs_owner=False
    )


@_drafts(commands.BringBackDataCentre)
def _bring_back_data_centre(
    command: commands.BringBackDataCentre, configuration: Configuration, _: CompileContext
) -> _Draft:
    data_centre = _find_data_centre(command.name, configuration)
    if data_centre.state is DataCentreState.IN:
        raise _refuse(f"data centre {command.name!r} is not out")
    returning = frozenset(
        upstream.name
        for upstream in configuration.upstreams.values()
        if upstream.data_centre == command.name
    )
    return _set_data_centre(data_centre, configuration, DataCentreState.IN, returning)


def _refuse(message: str) -> _Refused:
    return _Refused(InvalidChange(message=message))


def _find_upstream(name: str, configuration: Configuration) -> Upstream:
    if name not in configuration.upstreams:
        raise _Refused(describe_unknown("upstream", name, configuration.upstreams))
    return configuration.upstreams[name]


def _find_data_centre(name: str, configuration: Configuration) -> DataCentre:
    if name not in configuration.data_centres:
        raise _Refused(describe_unknown("data centre", name, configuration.data_centres))
    return configuration.data_centres[name]


def _set_upstream(upstream: Upstream, configuration: Configuration, **changes: object) -> _Draft:
    effects = (UpstreamSet(msgspec.structs.replace(upstream, **changes)),)
    service = upstream.service
    before = weigh_upstreams(configuration, (service,))[service]
    after = weigh_upstreams(preview_effects(configuration, effects, 0), (service,))[service]
    if any(before.values()) and not any(after.values()):
        raise _refuse(
            f"service {service!r} would have no upstream left that takes new flows;"
            f" {upstream.name!r} is the last one"
        )
    return _Draft(effects, (service,))


def _set_data_centre(
    data_centre: DataCentre,
    configuration: Configuration,
    state: DataCentreState,
    stepped: frozenset[str],
    needs_owner: bool = True,
) -> _Draft:
    effect = DataCentreSet(msgspec.structs.replace(data_centre, state=state))
    services = {
        upstream.service
        for upstream in configuration.upstreams.values()
        if upstream.data_centre == data_centre.name
    }
    return _Draft((effect,), tuple(sorted(services)), stepped, needs_owner)


def _check_endpoint(
    endpoint: Endpoint, service: str, configuration: Configuration, context: CompileContext
) -> None:
    """Refuses an endpoint that is in use, or that packets of another service may still reach."""
    for other in configuration.services.values():
        if other.address == endpoint:
            raise _refuse(f"{endpoint} is the address of service {other.name!r}")
    for upstream in configuration.upstreams.values():
        if upstream.endpoint == endpoint:
            raise _refuse(f"{endpoint} is the endpoint of upstream {upstream.name!r}")
    removed = context.removed_endpoints.get(endpoint)
    if removed is None or removed.service == service:
        return
    left_ms = removed.removed_at_ms + ENDPOINT_QUARANTINE_MS - context.now_ms
    if left_ms > 0:
        raise _refuse(
            f"{endpoint} was an endpoint of service {removed.service!r} until recently;"
            f" other services can have it in {left_ms // 1000 + 1} s"
        )
