"""Queries on a configuration, used by transitions and by the operators' commands."""

from catkinspread.model import Configuration, DataCentreState


def count_exceptions(configuration: Configuration, service: str) -> int:
    """Returns the number of flows of a service that are listed as exceptions to the slot table.

    While the number is above the limit, slots should be moved only for a drain.
    """
    table = configuration.slot_tables.get(service)
    return 0 if table is None else sum(base.exception_count for base in table.bases)


def is_unused(configuration: Configuration, name: str) -> bool:
    """Returns whether no flow can be assigned to an upstream, so that removing it breaks none.

    The old upstream of a slot in transition stays in use until the transition has ended with
    its exception list.
    """
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return True
    table = configuration.slot_tables[upstream.service]
    is_base = any(base.default == name or name in base.exceptions for base in table.bases)
    return not is_base and all(value.target != name for value in table.transitions.values())


def can_serve_flows(configuration: Configuration, name: str) -> bool:
    """Returns whether existing flows on an upstream can continue."""
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return False
    data_centre = configuration.data_centres.get(upstream.data_centre)
    return data_centre is None or data_centre.state is DataCentreState.IN
