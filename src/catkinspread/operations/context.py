"""What the compiler knows besides the configuration."""

import msgspec

from catkinspread.configuration import ChangeEntry, UpstreamRemoved, UpstreamSet
from catkinspread.model import Configuration, Endpoint, InstanceIncarnation

# Packets of a removed upstream may still be under way to its endpoint this long; another
# service there would get them (G2).
ENDPOINT_QUARANTINE_MS = 3_600_000
# Bounds an entry to about 8 KB, which takes 3 s at 3 KB/s: it must be in force in 5 s.
MOVED_SLOTS_MAX = 2_048
# A group costs every instance some work, so it owns at least this many slots where it can.
GROUP_SLOTS_MIN = 16


class RemovedEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that an upstream had when it was removed."""

    service: str
    removed_at_ms: int


class CompileContext(msgspec.Struct, frozen=True):
    """What the compiler knows besides the configuration.

    Attributes:
        now_ms: Current time in ms since the epoch.
        team: Team of the operator; owner of a service that names none.
        live_members: Live instances by data centre, from which owner groups are chosen.
        removed_endpoints: Endpoints in quarantine.
        idle_since_ms: Since when upstreams that are being removed get no new flows; see
            `removals.note_idle_removals`.
        step_slots: Slots that an upstream gains at first when it is added or comes back; the
            rest follows in steps. None gives it its whole share at once.
    """

    now_ms: int
    team: str = ""
    live_members: dict[str, tuple[InstanceIncarnation, ...]] = {}
    removed_endpoints: dict[Endpoint, RemovedEndpoint] = {}
    idle_since_ms: dict[str, int] = {}
    step_slots: int | None = None


def note_removals(
    removed: dict[Endpoint, RemovedEndpoint], before: Configuration, entry: ChangeEntry
) -> dict[Endpoint, RemovedEndpoint]:
    """Returns the endpoints in quarantine after an entry.

    An entry that completes a removal sets the upstream first, so it tells the endpoint itself.

    Args:
        removed: The endpoints in quarantine before.
        before: The configuration before the entry.
        entry: The entry.
    """
    gone = [effect.name for effect in entry.effects if isinstance(effect, UpstreamRemoved)]
    if not gone:
        return removed
    oldest_ms = entry.written_at_ms - ENDPOINT_QUARANTINE_MS
    kept = {endpoint: item for endpoint, item in removed.items() if item.removed_at_ms > oldest_ms}
    stated = {
        effect.upstream.name: effect.upstream
        for effect in entry.effects
        if isinstance(effect, UpstreamSet)
    }
    for name in gone:
        upstream = stated.get(name) or before.upstreams.get(name)
        if upstream is not None:
            kept[upstream.endpoint] = RemovedEndpoint(upstream.service, entry.written_at_ms)
    return kept
