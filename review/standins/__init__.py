"""Stand-ins for the store, targets, routers and clients, and a starter of instances.

They need nothing but the standard library, speak the protocol of the users' pages and run in one
process. The instances are started as separate processes with the command of the deploy file.
"""
