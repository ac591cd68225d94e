"""The faults of a soak, each a coroutine that injects it and ends it again.

Several run at the same time. A fault records what it disturbs in the disturbance tracker, so that
bounds are checked only where they apply; planned work disturbs only the instances that it stops.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio

from catkinspread.platform.stand_ins import StoreMode
from catkinspread.soak.disturbances import STORE
from catkinspread.soak.guarantees import DRAIN_MS
from catkinspread.soak.processes import GRACE_MS, HEARTBEAT_MS, InstanceProcess
from catkinspread.soak.proxy import ProxyMode
from catkinspread.soak.site import DATA_CENTRES, FIXED_ROUTES, SERVICES, Site
from catkinspread.soak.upstreams import UpstreamHost

Fault = Callable[[Site, random.Random], Awaitable[None]]
REUSE_AFTER_MS = 2_000
COLD_MS = 2_000
_STOP_SLACK_MS = 500
_END_CHECK_INTERVAL_MS = 20
_LONGEST_MS = 4_000
_MS_PER_S = 1_000
# Hosts of upstreams that faults leave alone, so that each service keeps some.
_SPARED_HOSTS = 4

_FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Returns a decorator that adds a fault."""

    def add(fault: Fault) -> Fault:
        _FAULTS[name] = fault
        return fault

    return add


def list_faults() -> dict[str, Fault]:
    """Returns all faults by name, in order of name."""
    return {name: _FAULTS[name] for name in sorted(_FAULTS)}


async def _sleep_ms(duration_ms: float) -> None:
    await anyio.sleep(duration_ms / _MS_PER_S)


def _draw_ms(rng: random.Random) -> int:
    return rng.randint(300, _LONGEST_MS)


@asynccontextmanager
async def _disturb(site: Site, *parts: str) -> AsyncIterator[None]:
    for part in parts:
        site.disturbances.begin(part)
    try:
        yield
    finally:
        for part in parts:
            site.disturbances.end(part, site.clock.now_ms())


@asynccontextmanager
async def _hold_store(site: Site, mode: StoreMode) -> AsyncIterator[None]:
    """Keeps the store in a mode; afterwards it is in that of another fault, if there is one."""
    site.store_modes.append(mode)
    site.store.mode = mode
    try:
        yield
    finally:
        site.store_modes.remove(mode)
        site.store.mode = site.store_modes[-1] if site.store_modes else StoreMode.NORMAL


def _choose_instances(site: Site, rng: random.Random, share: float) -> list[InstanceProcess]:
    count = max(1, round(share * len(site.instances)))
    return rng.sample(site.instances, count)


@asynccontextmanager
async def _claim_hosts(
    site: Site, rng: random.Random, count: int
) -> AsyncIterator[list[UpstreamHost]]:
    """Gives a fault hosts whose upstreams no other fault changes meanwhile."""
    free = [
        host
        for host in site.hosts[_SPARED_HOSTS:]
        if host.upstream is not None and not host.is_claimed
    ]
    hosts = rng.sample(free, min(count, len(free)))
    for host in hosts:
        host.is_claimed = True
    try:
        yield hosts
    finally:
        for host in hosts:
            host.is_claimed = False


async def _wait_for_end(instance: InstanceProcess, incarnation: int) -> None:
    """Waits until a process has ended; another fault may have started the next one meanwhile."""
    while instance.is_running and instance.incarnation == incarnation:
        await _sleep_ms(_END_CHECK_INTERVAL_MS)


async def _start_after_end(instance: InstanceProcess, incarnation: int) -> None:
    """Starts an instance once its process has ended, unless another fault has started it."""
    await _wait_for_end(instance, incarnation)
    if not instance.is_running:
        instance.start()


async def _kill(site: Site, instances: list[InstanceProcess], down_ms: int) -> None:
    async with _disturb(site, *(instance.name for instance in instances)):
        incarnations = [instance.incarnation for instance in instances]
        for instance in instances:
            instance.kill()
        await _sleep_ms(down_ms)
        for instance, incarnation in zip(instances, incarnations, strict=True):
            await _start_after_end(instance, incarnation)
        await _sleep_ms(_STOP_SLACK_MS)


@register_fault("kill")
async def kill_one(site: Site, rng: random.Random) -> None:
    """Kills an instance and starts it again."""
    await _kill(site, _choose_instances(site, rng, 0.1), rng.randint(100, 3_000))


@register_fault("kill_many")
async def kill_many(site: Site, rng: random.Random) -> None:
    """Kills many instances at the same moment, at times all of them."""
    share = rng.choice((0.5, 0.7, 1.0))
    await _kill(site, _choose_instances(site, rng, share), rng.randint(200, 1_500))


@register_fault("kill_after_change")
async def kill_after_change(site: Site, rng: random.Random) -> None:
    """Kills all instances right after a configuration was acknowledged."""
    await change_configuration(site, rng)
    await _sleep_ms(rng.randint(0, 400))
    await _kill(site, list(site.instances), rng.randint(200, 1_000))


@register_fault("stop_in_turn")
async def stop_in_turn(site: Site, rng: random.Random) -> None:
    """Stops some instances one after the other and starts them again."""
    for instance in _choose_instances(site, rng, rng.choice((0.2, 0.5, 1.0))):
        await _stop(site, instance)
        await _sleep_ms(rng.randint(0, 1_200))


async def _stop(site: Site, instance: InstanceProcess) -> None:
    if not instance.is_running:
        return
    async with _disturb(site, instance.name):
        instance.stop()
        incarnation = instance.incarnation
        with anyio.move_on_after((GRACE_MS + _STOP_SLACK_MS) / _MS_PER_S) as scope:
            await _wait_for_end(instance, incarnation)
        if scope.cancelled_caught:
            instance.kill()
            now_ms = site.clock.now_ms()
            site.guarantees.report_violation(
                "stop", now_ms, f"{instance.name} outlived its grace time"
            )
        await _start_after_end(instance, incarnation)
        await _sleep_ms(_STOP_SLACK_MS)


@register_fault("pause")
async def pause(site: Site, rng: random.Random) -> None:
    """Freezes some instances for a while."""
    instances = _choose_instances(site, rng, rng.choice((0.1, 0.3)))
    async with _disturb(site, *(instance.name for instance in instances)):
        for instance in instances:
            instance.pause()
        await _sleep_ms(_draw_ms(rng))
        for instance in instances:
            instance.resume()


@register_fault("reload")
async def reload(site: Site, rng: random.Random) -> None:
    """Tells some instances that their settings changed."""
    for instance in _choose_instances(site, rng, 0.5):
        if instance.is_running:
            instance.reload()
        await _sleep_ms(rng.randint(0, 200))


@register_fault("store_fails")
async def fail_store(site: Site, rng: random.Random) -> None:
    """Lets the store fail for all instances in one of its ways."""
    modes = [mode for mode in StoreMode if mode is not StoreMode.NORMAL]
    async with _disturb(site, STORE), _hold_store(site, rng.choice(modes)):
        await _sleep_ms(_draw_ms(rng))


@register_fault("store_lapses")
async def lapse_entries(site: Site, rng: random.Random) -> None:
    """Takes the store down; entries of upstreams lapse and return after it."""
    async with _disturb(site, STORE):
        async with _hold_store(site, StoreMode.BUSY):
            lapsed = rng.sample(site.list_upstreams(), len(site.list_upstreams()) // 2)
            for upstream in lapsed:
                site.remove_entry(upstream)
            await _sleep_ms(_draw_ms(rng))
        await _sleep_ms(rng.randint(0, 1_500))
        for upstream in lapsed:
            if upstream in site.list_upstreams():
                site.report(upstream)


@register_fault("store_forgets")
async def forget_history(site: Site, rng: random.Random) -> None:
    """Drops the history of the store, with changes around that moment."""
    async with _disturb(site, STORE):
        await change_configuration(site, rng)
        site.store.forget_history()
        await _sleep_ms(rng.randint(0, 300))
        await change_configuration(site, rng)


@register_fault("store_restored")
async def restore_store(site: Site, rng: random.Random) -> None:
    """Takes the store down and brings it back from a copy, to which everything is written again."""
    copy = site.store.take_copy()
    await _sleep_ms(_draw_ms(rng))
    async with _disturb(site, STORE):
        mode = rng.choice((StoreMode.BUSY, StoreMode.RESET, StoreMode.SILENT))
        async with _hold_store(site, mode):
            await _sleep_ms(rng.randint(100, 2_000))
            site.store.restore(copy)
        await _sleep_ms(rng.randint(0, 1_500))
        site.write_again()
        await _sleep_ms(3 * HEARTBEAT_MS)
        site.remove_stale_entries()


@register_fault("store_cut")
async def cut_from_store(site: Site, rng: random.Random) -> None:
    """Delays, resets, silences or cuts one way the store connections of some instances."""
    mode = rng.choice([mode for mode in ProxyMode if mode is not ProxyMode.PASS])
    instances = _choose_instances(site, rng, rng.choice((0.1, 0.35, 0.7)))
    proxies = [site.proxies[instance.number] for instance in instances]
    async with _disturb(site, *(instance.name for instance in instances)):
        for proxy in proxies:
            proxy.mode = mode
            if mode is ProxyMode.RESET:
                await proxy.reset_connections()
        await _sleep_ms(_draw_ms(rng))
        for proxy in proxies:
            proxy.mode = ProxyMode.PASS
            if rng.random() < 0.5:
                await proxy.reset_connections()


@register_fault("configuration")
async def change_configuration(site: Site, rng: random.Random) -> None:
    """Adds, drops, re-points or shares a route beside the fixed ones."""
    numbers = range(FIXED_ROUTES, FIXED_ROUTES + rng.randint(0, 3))
    weights = {number: {SERVICES[number % 2]: 1.0} for number in numbers}
    weights[FIXED_ROUTES] = {rng.choice(SERVICES): 1.0}
    weights[FIXED_ROUTES + 3] = {name: float(rng.randint(0, 2)) for name in SERVICES}
    if not any(weights[FIXED_ROUTES + 3].values()):
        del weights[FIXED_ROUTES + 3]
    site.put_routes(weights)


@register_fault("configuration_storm")
async def storm_configurations(site: Site, rng: random.Random) -> None:
    """Changes the configuration in quick succession."""
    for _ in range(rng.randint(5, 15)):
        await change_configuration(site, rng)
        await _sleep_ms(rng.randint(20, 300))


@register_fault("drain")
async def drain_upstream(site: Site, rng: random.Random) -> None:
    """Drains an upstream, ends it and starts another one at its address."""
    async with _claim_hosts(site, rng, rng.randint(1, 2)) as hosts:
        for host in hosts:
            upstream = host.upstream
            upstream.update(is_draining=True)
            site.report(upstream)
            upstream.draining_since_ms = site.clock.now_ms()
            await _sleep_ms(DRAIN_MS + rng.randint(300, 2_000))
            await _replace(site, host, rng)


@register_fault("crash_and_reuse")
async def crash_upstream(site: Site, rng: random.Random) -> None:
    """Ends an upstream without notice; its address goes to the other service."""
    async with _claim_hosts(site, rng, 1) as hosts:
        for host in hosts:
            upstream = host.upstream
            host.upstream = None
            upstream.forget_all()
            await _sleep_ms(3 * HEARTBEAT_MS)
            site.remove_entry(upstream)
            await _sleep_ms(REUSE_AFTER_MS)
            service = SERVICES[1 - SERVICES.index(upstream.record.service)]
            site.start_upstream(host, service, upstream.record.data_centre)


async def _replace(site: Site, host: UpstreamHost, rng: random.Random) -> None:
    upstream = host.upstream
    upstream.forget_all()
    host.upstream = None
    site.remove_entry(upstream)
    await _sleep_ms(REUSE_AFTER_MS)
    record = upstream.record
    site.start_upstream(host, record.service, record.data_centre, rng.choice((0, COLD_MS)))


@register_fault("restart_upstream")
async def restart_upstream(site: Site, rng: random.Random) -> None:
    """Restarts an upstream under the name that it had."""
    async with _claim_hosts(site, rng, 1) as hosts:
        for host in hosts:
            record = host.upstream.record
            host.upstream.forget_all()
            host.upstream = None
            await _sleep_ms(rng.randint(200, 2_000))
            site.start_upstream(host, record.service, record.data_centre, key=record.key)


@register_fault("silence_upstream")
async def silence_upstream(site: Site, rng: random.Random) -> None:
    """Lets an upstream neither take nor send packets for a while."""
    async with _claim_hosts(site, rng, rng.randint(1, 3)) as hosts:
        names = [host.upstream.record.name for host in hosts]
        async with _disturb(site, *names):
            for host in hosts:
                host.is_silent = True
            await _sleep_ms(_draw_ms(rng))
            for host in hosts:
                host.is_silent = False


@register_fault("evacuate")
async def evacuate(site: Site, rng: random.Random) -> None:
    """Takes a data centre out and back."""
    data_centre = rng.choice(DATA_CENTRES)
    site.set_evacuated(data_centre, True)
    await _sleep_ms(rng.randint(1_000, 7_000))
    site.set_evacuated(data_centre, False)


@register_fault("foreign_entries")
async def write_foreign_entries(site: Site, rng: random.Random) -> None:
    """Writes entries that name no upstream."""
    for number, spec in enumerate(({}, {"service": 7}, "text", None, {"state": "lost"})):
        site.put_foreign_entry(f"foreign-{rng.randint(0, 99)}-{number}", spec)
