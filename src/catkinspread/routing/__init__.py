"""Flow routing: which upstream carries each flow, and how slots move without breaking flows."""

from catkinspread.routing.planner import count_shares, current_upstream, plan_slots, plan_step

__all__ = ["count_shares", "current_upstream", "plan_slots", "plan_step"]
