"""The admission controllers of an instance, one for each upstream in use."""

from catkinspread.instance.world import World
from catkinspread.limits import AdmissionController, KnownInstances, LimitsInForce, RampRates


class Admissions:
    """Creates controllers on first use and closes those of removed upstreams."""

    __slots__ = ("_controllers", "_fleet", "_world")

    def __init__(self, world: World, fleet: KnownInstances) -> None:
        self._world = world
        self._fleet = fleet
        self._controllers: dict[str, AdmissionController] = {}

    def get(self, upstream: str, now_ms: int) -> AdmissionController:
        """Returns the controller of an upstream of the configuration."""
        controller = self._controllers.get(upstream)
        if controller is None:
            controller = AdmissionController(
                upstream, self._find_rates(upstream), self._fleet, now_ms
            )
            self._controllers[upstream] = controller
        return controller

    def list_active(self) -> list[tuple[str, AdmissionController]]:
        """Returns the controllers with the names of their upstreams."""
        return list(self._controllers.items())

    def describe(self, upstream: str, now_ms: int) -> LimitsInForce | None:
        """Returns the limits in force for an upstream; None if it is not in use here."""
        controller = self._controllers.get(upstream)
        return None if controller is None else controller.describe_limits(now_ms)

    def _find_rates(self, upstream: str) -> RampRates:
        found = self._world.configuration.upstreams[upstream]
        return RampRates.of_upstream(found)
