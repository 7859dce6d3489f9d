"""The gateway: one process per host that sends callers' requests to targets."""
