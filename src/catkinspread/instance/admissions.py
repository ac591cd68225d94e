"""The admission controllers of an instance, one for each upstream in use."""

from catkinspread.instance.state import SharedState
from catkinspread.limits import (
    AdmissionAction,
    AdmissionController,
    ColdStartNotice,
    CurrentLimits,
    KnownInstances,
    RampRates,
)


class Admissions:
    """Creates controllers on first use and closes those of removed upstreams."""

    __slots__ = ("_controllers", "_fleet", "_state")

    def __init__(self, state: SharedState, fleet: KnownInstances) -> None:
        self._state = state
        self._fleet = fleet
        self._controllers: dict[str, AdmissionController] = {}

    def get(self, upstream: str, now_ms: int) -> AdmissionController:
        """Returns the controller of an upstream of the configuration."""
        controller = self._controllers.get(upstream)
        if controller is None:
            found = self._state.configuration.upstreams[upstream]
            rates = RampRates.from_upstream(found)
            controller = AdmissionController(
                upstream, rates, self._fleet, now_ms, cold_at_ms=found.cold_at_ms
            )
            self._controllers[upstream] = controller
        return controller

    def find(self, upstream: str) -> AdmissionController | None:
        """Returns the controller of an upstream, or None if it is not in use or was removed."""
        return self._controllers.get(upstream)

    def list_active(self) -> list[tuple[str, AdmissionController]]:
        """Returns the controllers with the names of their upstreams."""
        return list(self._controllers.items())

    def describe(self, upstream: str, now_ms: int) -> CurrentLimits | None:
        """Returns the limits in force for an upstream; None if it is not in use here."""
        controller = self._controllers.get(upstream)
        return None if controller is None else controller.describe_limits(now_ms)

    def list_notices(self, now_ms: int) -> list[ColdStartNotice]:
        """Returns the cold starts that the configuration does not tell and that still matter."""
        notices = []
        for controller in self._controllers.values():
            notice = controller.build_notice()
            if notice.sequence and controller.describe_limits(now_ms).is_warming:
                notices.append(notice)
        return notices

    def update(self, now_ms: int) -> list[tuple[str, AdmissionAction]]:
        """Takes rates and cold starts of a new configuration.

        Returns:
            Actions of the limits with the names of their upstreams.
        """
        actions: list[tuple[str, AdmissionAction]] = []
        for name, controller in list(self._controllers.items()):
            found = self._state.configuration.upstreams.get(name)
            if found is None:
                del self._controllers[name]
                actions += [(name, action) for action in controller.close()]
                continue
            controller.update_rates(RampRates.from_upstream(found))
            announced = controller.handle_announced_cold_start(found.cold_at_ms, now_ms)
            actions += [(name, action) for action in announced]
        return actions
