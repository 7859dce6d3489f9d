"""The cassiahead daemon."""
