"""Tests of the replication of the configuration between simulated instances."""

from catkinspread.bench.configuration_fleet import ConfigurationFleet
from catkinspread.configuration.tests.builders import make_change

REPLICATION_MAX_MS = 5_000


def start_instances(seed=1, **options):
    simulation = ConfigurationFleet(seed, **options)
    simulation.start_all()
    simulation.run(3_000)
    return simulation


def write_without_announcement(simulation, version):
    """Writes a change to the log and announces it to no replica."""
    assert simulation.platform.write(make_change(version), version).is_ok()
    simulation.wake_watchers()


def list_versions(simulation):
    return {simulation.replicas[node.name].version for node in simulation.list_running()}


def test_change_is_applied_everywhere_within_the_time_limit():
    """Guards against an instance that does not apply a change within 5 s on lossy links (G10).

    The change is only in the log, as if its writer had failed before it announced the change.
    """
    simulation = start_instances(loss=0.1)
    for version in range(8):
        write_without_announcement(simulation, version)
        simulation.run(REPLICATION_MAX_MS)
        assert list_versions(simulation) == {version + 1}
    assert all(node.view.have_all_reported(8) for node in simulation.list_running())
    assert simulation.reversions == 0


def test_isolated_data_centre_keeps_its_version_and_catches_up():
    """Guards against a return to an older version during a partition.

    An instance of the isolated data centre restarts during the partition.
    """
    simulation = start_instances()
    write_without_announcement(simulation, 0)
    simulation.run(3_000)
    simulation.links.isolate("dc-2")
    simulation.platform.unreachable.add("dc-2")
    simulation.run(5_000)
    for version in (1, 2, 3):
        write_without_announcement(simulation, version)
        simulation.run(1_000)
    isolated = [node.name for node in simulation.nodes.values() if node.data_centre == "dc-2"]
    simulation.kill(isolated[0])
    simulation.run(4_000)
    simulation.start(isolated[0])
    simulation.run(4_000)
    assert {simulation.replicas[name].version for name in isolated} == {1}
    assert simulation.replicas[isolated[0]].is_ready
    simulation.links.cut.clear()
    simulation.platform.unreachable.clear()
    simulation.run(REPLICATION_MAX_MS)
    assert list_versions(simulation) == {4}
    assert simulation.reversions == 0


def test_all_instances_restart_one_by_one_while_the_platform_is_down():
    """Guards against loss of the configuration when all instances restart in turn.

    With the platform down, each instance must load the configuration from its peers.
    """
    simulation = start_instances()
    for version in range(5):
        write_without_announcement(simulation, version)
        simulation.run(500)
    simulation.platform.is_down = True
    for name in simulation.nodes:
        simulation.leave(name)
        simulation.run(1_000)
        simulation.start(name)
        simulation.run(4_000)
        assert simulation.replicas[name].is_ready
    assert list_versions(simulation) == {5}
    assert simulation.reversions == 0


def test_entry_spreads_from_informed_instances_while_the_platform_is_down():
    """Guards against entries that spread only through the watches of the log.

    The platform goes down after some instances have applied the entry.
    """
    simulation = start_instances()
    write_without_announcement(simulation, 0)
    simulation.run(150)
    simulation.platform.is_down = True
    informed = [name for name in simulation.nodes if simulation.replicas[name].version == 1]
    assert informed
    simulation.run(REPLICATION_MAX_MS)
    assert list_versions(simulation) == {1}
