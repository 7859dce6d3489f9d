"""Stand-ins for targets and the configuration service; fleets of daemons."""
