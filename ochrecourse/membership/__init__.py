"""The endpoint list of storage nodes: its sources (a list server or a registry), state and cache, and this
gateway's own registration.
"""
