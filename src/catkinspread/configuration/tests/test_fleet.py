"""Tests of the replication of the configuration over simulated links."""

from catkinspread.bench.configuration_fleet import ConfigurationFleet
from catkinspread.configuration.tests.builders import make_change

REPLICATION_MAX_MS = 5_000


def make_fleet(seed=1, **options):
    fleet = ConfigurationFleet(seed, **options)
    fleet.start_all()
    fleet.run(3_000)
    return fleet


def write(fleet, version):
    """Writes a change whose writer fails before it can announce the change."""
    assert fleet.platform.write(make_change(version), version).is_ok()
    fleet.wake_watchers()


def list_versions(fleet):
    return {fleet.replicas[node.name].version for node in fleet.list_running()}


def test_change_is_applied_everywhere_within_the_time_limit():
    """Guards against G10 (applied everywhere within 5 s) failing on lossy links.

    The writer fails before it can announce a change.
    """
    fleet = make_fleet(loss=0.1)
    for version in range(8):
        write(fleet, version)
        fleet.run(REPLICATION_MAX_MS)
        assert list_versions(fleet) == {version + 1}
    assert all(node.view.have_all_reported(8) for node in fleet.list_running())
    assert fleet.reversions == 0


def test_isolated_data_centre_keeps_its_version_and_catches_up():
    """Guards against a reversion during a partition, including a restart inside it."""
    fleet = make_fleet()
    write(fleet, 0)
    fleet.run(3_000)
    fleet.links.isolate("dc-2")
    fleet.platform.unreachable.add("dc-2")
    fleet.run(5_000)
    for version in (1, 2, 3):
        write(fleet, version)
        fleet.run(1_000)
    isolated = [node.name for node in fleet.nodes.values() if node.data_centre == "dc-2"]
    fleet.kill(isolated[0])
    fleet.run(4_000)
    fleet.start(isolated[0])
    fleet.run(4_000)
    assert {fleet.replicas[name].version for name in isolated} == {1}
    assert fleet.replicas[isolated[0]].is_ready
    fleet.links.cut.clear()
    fleet.platform.unreachable.clear()
    fleet.run(REPLICATION_MAX_MS)
    assert list_versions(fleet) == {4}
    assert fleet.reversions == 0


def test_all_instances_restart_one_by_one_while_the_platform_is_down():
    """Guards against losing the configuration when the instances restart in turn.

    With the platform down, each one must load it from its peers.
    """
    fleet = make_fleet()
    for version in range(5):
        write(fleet, version)
        fleet.run(500)
    fleet.platform.is_down = True
    for name in fleet.nodes:
        fleet.leave(name)
        fleet.run(1_000)
        fleet.start(name)
        fleet.run(4_000)
        assert fleet.replicas[name].is_ready
    assert list_versions(fleet) == {5}
    assert fleet.reversions == 0


def test_entry_spreads_from_informed_instances_while_the_platform_is_down():
    """Guards against entries that spread only through the watches of the log.

    The platform goes down after some instances have applied the entry.
    """
    fleet = make_fleet()
    write(fleet, 0)
    fleet.run(150)
    fleet.platform.is_down = True
    informed = [name for name in fleet.nodes if fleet.replicas[name].version == 1]
    assert informed
    fleet.run(REPLICATION_MAX_MS)
    assert list_versions(fleet) == {1}
