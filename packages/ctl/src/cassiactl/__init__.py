"""The command line tool of cassiahead's operators."""
