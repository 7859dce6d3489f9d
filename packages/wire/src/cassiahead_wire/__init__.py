"""HTTP connections, addresses and clocks that all programs share."""
