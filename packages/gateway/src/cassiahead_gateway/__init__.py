"""The gateway: one process a host that asks the targets itself."""
