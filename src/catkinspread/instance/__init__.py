"""The daemon of an instance: tasks that own sockets around decision logic without any."""

from catkinspread.instance.admin import STATEMENT_PATH
from catkinspread.instance.core import InstanceCore
from catkinspread.instance.daemon import Instance
from catkinspread.instance.flows import Flow, FlowTable
from catkinspread.instance.metrics import InstanceFigures

__all__ = ["STATEMENT_PATH", "Flow", "FlowTable", "Instance", "InstanceCore", "InstanceFigures"]
