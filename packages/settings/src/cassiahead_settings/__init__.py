"""Settings files of the programs."""
