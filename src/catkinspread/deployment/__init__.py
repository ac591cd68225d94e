"""The state of the deployment on one instance: routes, upstreams, evacuated data centres."""

from catkinspread.deployment.records import (
    COLD_START_DEFAULT_MS,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
    StateKind,
    UpstreamRecord,
)
from catkinspread.deployment.report_order import LATE_WRITE_MAX_MS, ReportOrder, Verdict
from catkinspread.deployment.source import (
    HistoryLost,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateRecord,
    StateSource,
)
from catkinspread.deployment.state import (
    MISSING_GRACE_MS,
    ApplyOutcome,
    DeploymentState,
    KnownUpstream,
)
from catkinspread.deployment.synchroniser import (
    SourceHealth,
    StateApplier,
    Synchroniser,
    SynchroniserSettings,
)
from catkinspread.deployment.tokens import (
    SHORT_TOKEN_BITS,
    SHORT_TOKEN_MAX,
    TOKEN_BITS,
    TOKEN_MAX,
    compute_token,
)

__all__ = [
    "COLD_START_DEFAULT_MS",
    "LATE_WRITE_MAX_MS",
    "MISSING_GRACE_MS",
    "SHORT_TOKEN_BITS",
    "SHORT_TOKEN_MAX",
    "TOKEN_BITS",
    "TOKEN_MAX",
    "ApplyOutcome",
    "DeploymentState",
    "HistoryLost",
    "KnownUpstream",
    "ReportOrder",
    "RequestKind",
    "Route",
    "RoutingConfiguration",
    "ServiceAddress",
    "ServiceLimits",
    "ServiceShare",
    "SourceHealth",
    "SourcePosition",
    "SourceUnavailable",
    "StateApplier",
    "StateChange",
    "StateChanges",
    "StateKind",
    "StateRecord",
    "StateSource",
    "Synchroniser",
    "SynchroniserSettings",
    "UpstreamRecord",
    "Verdict",
    "compute_token",
]
