"""The daemon of an instance: tasks that own sockets around decision logic without any."""

from catkinspread.instance.core import InstanceCore
from catkinspread.instance.daemon import Instance
from catkinspread.instance.flows import Flow, FlowTable

__all__ = ["Flow", "FlowTable", "Instance", "InstanceCore"]
