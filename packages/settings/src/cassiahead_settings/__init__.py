"""Reading and validation of the settings files of cassiahead's programs."""
