"""The inner protocol: messages between cassiahead's daemons."""
