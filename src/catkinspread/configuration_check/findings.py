"""Data types of the findings about a configuration.

Types with tens of thousands of objects in a large configuration have `gc=False`: they are immutable
and never part of a cycle, and the garbage collector would visit all of them repeatedly.
"""

import enum

import msgspec


class Severity(enum.Enum):
    """How serious a finding is, in descending order.

    Attributes:
        ERROR: Instances would refuse or ignore the configuration.
        WARNING: A part of the configuration has no effect or contradicts another one.
        INFORMATION: An effect or a change that may be intended.
    """

    ERROR = "error"
    WARNING = "warning"
    INFORMATION = "information"


class FindingKind(enum.Enum):
    """Group of checks that a finding belongs to.

    Attributes:
        REFUSED: Values that make instances refuse the whole configuration.
        UNREACHABLE: Entries that have no effect.
        CONTRADICTION: Limits that contradict each other.
        DIFFERENCE: Differences from the configuration in force.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CONTRADICTION = "contradiction"
    DIFFERENCE = "difference"


class ObjectKind(enum.Enum):
    """Kind of a part of a configuration."""

    CONFIGURATION = "configuration"
    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


class ConfigurationField(enum.Enum):
    """A field of a part of a configuration, independent of its name on the wire.

    Attributes:
        WHOLE: No single field; the finding is about the whole part.
        SERVICE: Service of a route that is not shared by several services.
        BACKENDS: Services that share a route.
        WEIGHT: Weight of one of the services that share a route.
    """

    WHOLE = "whole"
    VERSION = "version"
    ROUTES = "routes"
    SERVICES = "services"
    LIMITS = "limits"
    NAME = "name"
    IP = "ip"
    PORT = "port"
    REQUEST_KIND = "request_kind"
    SERVICE = "service"
    BACKENDS = "backends"
    WEIGHT = "weight"
    TIMEOUT = "timeout"
    OBJECTIVE = "objective"
    PRIORITY = "priority"
    COLD_RATE = "cold_rate"
    COLD_TIME = "cold_time"
    CONNECTIONS_MAX = "connections_max"
    IDLE_TIMEOUT = "idle_timeout"


class ConfigurationPart(msgspec.Struct, frozen=True, gc=False):
    """The part of a configuration that a finding is about.

    Attributes:
        kind: Kind of the part.
        name: Name of the route or service; empty if it has none or it cannot be read.
        position: Position among the routes or services of the checked configuration, from 0; None
            for other parts and for entries that are only in the configuration in force.
    """

    kind: ObjectKind
    name: str = ""
    position: int | None = None

    def __str__(self) -> str:
        text = self.kind.value
        if self.name:
            text += f" {self.name!r}"
        return text if self.position is None else f"{text} (entry {self.position})"


WHOLE_CONFIGURATION = ConfigurationPart(ObjectKind.CONFIGURATION)


class Observation(msgspec.Struct, frozen=True, gc=False):
    """What a check has found in one place.

    Attributes:
        part: The part of the configuration.
        field: The field of the part.
        message: What is wrong or different; begins in lower case and has no full stop.
    """

    part: ConfigurationPart
    field: ConfigurationField
    message: str


class Finding(msgspec.Struct, frozen=True, gc=False):
    """An observation with the properties of the check that made it.

    Attributes:
        code: Stable identifier of the check.
        kind: Group of the check.
        severity: How serious it is.
        observation: What was found, and where.
        advice: What to do, as one or more sentences.
    """

    code: str
    kind: FindingKind
    severity: Severity
    observation: Observation
    advice: str
