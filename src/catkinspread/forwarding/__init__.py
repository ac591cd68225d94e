"""Forwarding of caller packets: placement of new flows and tracking of open ones.

A caller is a client of the services: it opens flows to their service addresses.
"""

from catkinspread.forwarding.admission_policy import (
    AdmissionInputs,
    AdmissionPolicy,
    AdmissionVerdict,
    AdmitAll,
)
from catkinspread.forwarding.cold_start_limiter import ColdStartLimiter
from catkinspread.forwarding.decision_log import DecisionLog, format_ip
from catkinspread.forwarding.flow_adoption import AdoptionBasis, FlowAdoption
from catkinspread.forwarding.flow_resets import UpstreamCheck
from catkinspread.forwarding.flow_tokens import TokenStage, decode_stage, encode_flow_token
from catkinspread.forwarding.flows import Flow, FlowTable
from catkinspread.forwarding.forwarder import Forwarder
from catkinspread.forwarding.histogram import LatencyHistogram
from catkinspread.forwarding.load import LoadTracker, UpstreamLoad
from catkinspread.forwarding.local_availability import LocalAvailability
from catkinspread.forwarding.packets import (
    CallerPacket,
    FlowKey,
    FlowPeers,
    HandedOverFlow,
    PacketOutput,
    RejectionReason,
)
from catkinspread.forwarding.placement import Placement, SelectionTier, UpstreamChoice
from catkinspread.forwarding.restarts import RestartReport, RestartStage, RestartTracker

__all__ = [
    "AdmissionInputs",
    "AdmissionPolicy",
    "AdmissionVerdict",
    "AdmitAll",
    "AdoptionBasis",
    "CallerPacket",
    "ColdStartLimiter",
    "DecisionLog",
    "Flow",
    "FlowAdoption",
    "FlowKey",
    "FlowPeers",
    "FlowTable",
    "Forwarder",
    "HandedOverFlow",
    "LatencyHistogram",
    "LoadTracker",
    "LocalAvailability",
    "PacketOutput",
    "Placement",
    "RejectionReason",
    "RestartReport",
    "RestartStage",
    "RestartTracker",
    "SelectionTier",
    "TokenStage",
    "UpstreamCheck",
    "UpstreamChoice",
    "UpstreamLoad",
    "decode_stage",
    "encode_flow_token",
    "format_ip",
]
