"""Names that the platform's configuration object gives to the fields of a configuration."""

from collections.abc import Mapping

from catkinspread.configuration_check import ConfigurationField

# On the wire, a route has its address in `host` and its port in `path_prefix`; see `objects`.
FIELD_NAMES: Mapping[ConfigurationField, str] = {
    ConfigurationField.WHOLE: "",
    ConfigurationField.VERSION: "version",
    ConfigurationField.ROUTES: "routes",
    ConfigurationField.SERVICES: "services",
    ConfigurationField.LIMITS: "limits",
    ConfigurationField.NAME: "name",
    ConfigurationField.IP: "host",
    ConfigurationField.PORT: "path_prefix",
    ConfigurationField.REQUEST_KIND: "kind",
    ConfigurationField.SERVICE: "service",
    ConfigurationField.BACKENDS: "backends",
    ConfigurationField.WEIGHT: "weight",
    ConfigurationField.TIMEOUT: "timeout_ms",
    ConfigurationField.OBJECTIVE: "aim_ms",
    ConfigurationField.PRIORITY: "priority",
    ConfigurationField.COLD_RATE: "cold_per_s",
    ConfigurationField.COLD_TIME: "cold_s",
    ConfigurationField.CONNECTIONS_MAX: "max_flows",
    ConfigurationField.IDLE_TIMEOUT: "idle_timeout_ms",
}

FIELDS_BY_NAME: Mapping[str, ConfigurationField] = {
    name: field for field, name in FIELD_NAMES.items()
}


def get_field_name(field: ConfigurationField) -> str:
    """Returns the name of a field; empty for ConfigurationField.WHOLE."""
    return FIELD_NAMES[field]
